//! Connections that cannot be accepted. The only test of this process, because it changes a limit
//! of the whole process.

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;
use std::time::Instant;

use compio::time::sleep;
use hyper::Response;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::getrlimit;
use rustix::process::setrlimit;

use crocushoist_transport::ResponseBody;
use crocushoist_transport::ServerStop;
use crocushoist_transport::listen_on;
use crocushoist_transport::serve_http;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: server\r\nconnection: close\r\n\r\n";

/// Milliseconds for which the process has no file descriptor left.
const SHORTAGE_MS: u64 = 1_000;

/// Milliseconds by which another task may be late.
const MAX_DELAY_MS: u128 = 200;

/// Guards against a server that takes the whole process up while it has no file descriptor left.
#[test]
fn a_connection_that_cannot_be_accepted_holds_up_no_other_task() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let listener = listen_on(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
            .await
            .unwrap();
        let address = listener.local_addr().unwrap();
        let mut caller = TcpStream::connect(address).unwrap();
        caller.write_all(REQUEST).unwrap();
        let limit = getrlimit(Resource::Nofile);
        let next_descriptor = File::open("/dev/null").unwrap().as_raw_fd();
        let low_limit = Rlimit {
            current: Some(next_descriptor as u64),
            maximum: limit.maximum,
        };
        setrlimit(Resource::Nofile, low_limit).unwrap();
        let shortage = std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(SHORTAGE_MS));
            setrlimit(Resource::Nofile, limit).unwrap();
        });
        let server = serve_http(listener, ServerStop::default(), usize::MAX, |_, _| async {
            Response::new(ResponseBody::buffered("served"))
        });
        compio::runtime::spawn(server).detach();
        let started_at = Instant::now();
        sleep(Duration::from_millis(SHORTAGE_MS / 2)).await;
        let delay_ms = started_at.elapsed().as_millis() - u128::from(SHORTAGE_MS / 2);
        assert!(delay_ms < MAX_DELAY_MS, "{delay_ms} ms late");
        sleep(Duration::from_millis(SHORTAGE_MS)).await;
        shortage.join().unwrap();
        let mut text = String::new();
        caller.read_to_string(&mut text).unwrap();
        assert!(text.ends_with("served"), "{text}");
    });
}
