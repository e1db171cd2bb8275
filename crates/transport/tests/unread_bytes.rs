//! Bytes that the kernel keeps for a connection, which count towards the memory of the machine.

use std::io::ErrorKind;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use compio::time::sleep;
use http_body_util::BodyExt;
use hyper::Response;
use rustix::net::sockopt::set_socket_send_buffer_size;

use crocushoist_transport::ResponseBody;
use crocushoist_transport::ServerStop;
use crocushoist_transport::listen_on;
use crocushoist_transport::serve_http;

/// Part of 260 MB that one of 1,300 connections may have, in bytes.
const MAX_CONNECTION_BYTES: usize = 200 * 1024;

/// Size of the body in bytes, which lets the kernel find that the server reads fast.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Bytes that a client tries to send beyond its request.
const TRIED_BYTES: usize = 16 * 1024 * 1024;

/// Milliseconds without progress after which a client gives up.
const STILL_MS: u64 = 500;

/// Size of the buffer of the client's own kernel, in bytes.
const OWN_BUFFER_BYTES: usize = 4 * 1024;

/// Serves requests whose bodies are read and whose responses take longer than a test.
async fn start_server() -> SocketAddr {
    let listener = listen_on(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let server = serve_http(
        listener,
        ServerStop::default(),
        usize::MAX,
        |_, request| async move {
            let body = request.into_body().collect().await.unwrap();
            assert_eq!(body.to_bytes().len(), BODY_BYTES);
            sleep(Duration::from_secs(60)).await;
            Response::new(ResponseBody::buffered(""))
        },
    );
    compio::runtime::spawn(server).detach();
    address
}

/// Runs `client` on a thread of its own beside the server.
fn run<T: Send + 'static>(client: impl FnOnce(TcpStream) -> T + Send + 'static) -> T {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let address = start_server().await;
        let client = std::thread::spawn(move || {
            let stream = TcpStream::connect(address).unwrap();
            client(stream)
        });
        while !client.is_finished() {
            sleep(Duration::from_millis(10)).await;
        }
        client.join().unwrap()
    })
}

/// Guards against clients that send on while their request is served.
#[test]
fn bytes_that_wait_behind_a_request_are_bounded() {
    let sent_bytes = run(|mut stream| {
        let head =
            format!("POST / HTTP/1.1\r\nhost: server\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&vec![b'u'; BODY_BYTES]).unwrap();
        // What the client's own kernel keeps would count as well.
        set_socket_send_buffer_size(&stream, OWN_BUFFER_BYTES).unwrap();
        stream.set_nonblocking(true).unwrap();
        let part = [b'a'; 4 * 1024];
        let (mut sent_bytes, mut still_ms) = (0, 0);
        while still_ms < STILL_MS && sent_bytes < TRIED_BYTES {
            match stream.write(&part) {
                Ok(count) => {
                    sent_bytes += count;
                    still_ms = 0;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    std::thread::sleep(Duration::from_millis(10));
                    still_ms += 10;
                }
                Err(error) => panic!("{error}"),
            }
        }
        sent_bytes
    });
    println!("{sent_bytes} bytes were taken");
    assert!(
        sent_bytes <= MAX_CONNECTION_BYTES,
        "{sent_bytes} bytes were taken"
    );
}
