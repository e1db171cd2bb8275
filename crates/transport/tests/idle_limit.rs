//! Connections on which nothing is sent.

use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use hyper::Response;

use crocushoist_transport::ClientEntrance;
use crocushoist_transport::ClientLimits;
use crocushoist_transport::ClientRegister;
use crocushoist_transport::ResponseBody;
use crocushoist_transport::ServerStop;
use crocushoist_transport::listen_on;
use crocushoist_transport::serve_clients;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: server\r\n\r\n";

/// Whether the server has closed `stream`, on which no response is due.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    matches!((&*stream).read(&mut [0; 16]), Ok(0))
}

/// Guards against idle connections that the server closes while callers may still use them.
#[test]
fn idle_connections_are_kept_for_as_long_as_the_server_is_told() {
    const FIRST_LIMIT_MS: u64 = 500;
    const SECOND_LIMIT_MS: u64 = 3_000;
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let listener = listen_on(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
            .await
            .unwrap();
        let address = listener.local_addr().unwrap();
        let limit_ms = Rc::new(Cell::new(FIRST_LIMIT_MS));
        let shared_ms = Rc::clone(&limit_ms);
        let server = serve_clients(
            listener,
            ServerStop::default(),
            ClientEntrance::new(&ClientRegister::default(), usize::MAX),
            move || ClientLimits {
                idle_ms: shared_ms.get(),
                ..ClientLimits::default()
            },
            |_, _| async { Response::new(ResponseBody::buffered("served")) },
        );
        compio::runtime::spawn(server).detach();
        let unused = TcpStream::connect(address).unwrap();
        sleep(Duration::from_millis(50)).await;
        limit_ms.set(SECOND_LIMIT_MS);
        let mut used = TcpStream::connect(address).unwrap();
        used.write_all(REQUEST).unwrap();
        sleep(Duration::from_millis(50)).await;
        assert!(used.read(&mut [0; 1_024]).unwrap() > 0);
        sleep(Duration::from_millis(FIRST_LIMIT_MS / 2)).await;
        assert!(!is_closed(&unused));
        sleep(Duration::from_millis(FIRST_LIMIT_MS)).await;
        assert!(is_closed(&unused));
        assert!(!is_closed(&used));
        sleep(Duration::from_millis(SECOND_LIMIT_MS)).await;
        assert!(is_closed(&used));
    });
}
