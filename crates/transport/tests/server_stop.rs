//! Connections around the stop of a server.

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

use crocushoist_transport::ResponseBody;
use crocushoist_transport::ServerStop;
use crocushoist_transport::listen_on;
use crocushoist_transport::serve_http;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: server\r\n\r\n";
const RESPONSE_BODY: &str = "served";

/// Milliseconds in which the server handles all that it has.
const SETTLE_MS: u64 = 300;

/// Milliseconds for which the process does not run.
const STANDSTILL_MS: u64 = 50;

/// Server whose responses take some milliseconds.
struct SlowServer {
    address: SocketAddr,
    stop: ServerStop,
    /// Number of requests that the server has read.
    read_requests: Rc<Cell<usize>>,
}

impl SlowServer {
    async fn start(work_ms: u64) -> Self {
        let listener = listen_on(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
            .await
            .unwrap();
        let address = listener.local_addr().unwrap();
        let stop = ServerStop::default();
        let read_requests = Rc::new(Cell::new(0));
        let counter = Rc::clone(&read_requests);
        let server = serve_http(listener, stop.clone(), usize::MAX, move |_, _| {
            counter.set(counter.get() + 1);
            async move {
                sleep(Duration::from_millis(work_ms)).await;
                Response::new(ResponseBody::buffered(RESPONSE_BODY))
            }
        });
        compio::runtime::spawn(server).detach();
        sleep(Duration::from_millis(1)).await;
        SlowServer {
            address,
            stop,
            read_requests,
        }
    }

    /// Connects without letting the server run.
    fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).unwrap()
    }
}

/// Reads the rest of what the server sends; blocks until it closes the connection.
fn read_to_end(mut stream: TcpStream) -> String {
    let mut text = String::new();
    // A reset after the response is no error for a caller that has the response.
    let _ = stream.read_to_string(&mut text);
    text
}

fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

/// Guards against a reset of connections that a caller has opened, and used, just before the
/// listener closes.
#[test]
fn closing_the_listener_serves_connections_that_wait_to_be_accepted() {
    const CONNECTIONS: usize = 20;
    run(async {
        let server = SlowServer::start(0).await;
        let mut callers: Vec<TcpStream> = (0..CONNECTIONS).map(|_| server.connect()).collect();
        for caller in &mut callers {
            caller.write_all(REQUEST).unwrap();
        }
        server.stop.close_listener();
        sleep(Duration::from_millis(SETTLE_MS)).await;
        assert_eq!(server.read_requests.get(), CONNECTIONS);
        assert!(TcpStream::connect(server.address).is_err());
        server.stop.close_connections();
        sleep(Duration::from_millis(SETTLE_MS)).await;
        for caller in callers {
            assert!(read_to_end(caller).ends_with(RESPONSE_BODY));
        }
        assert_eq!(server.stop.open_connections(), 0);
    });
}

/// Guards against a closed connection under a request that the server has read.
#[test]
fn closing_the_connections_finishes_every_request_in_progress() {
    const CONNECTIONS: usize = 20;
    run(async {
        let server = SlowServer::start(SETTLE_MS).await;
        let mut callers: Vec<TcpStream> = (0..CONNECTIONS).map(|_| server.connect()).collect();
        sleep(Duration::from_millis(SETTLE_MS)).await;
        for caller in &mut callers {
            caller.write_all(REQUEST).unwrap();
        }
        sleep(Duration::from_millis(SETTLE_MS / 2)).await;
        assert_eq!(server.read_requests.get(), CONNECTIONS);
        server.stop.close_connections();
        sleep(Duration::from_millis(2 * SETTLE_MS)).await;
        for caller in callers {
            assert!(read_to_end(caller).ends_with(RESPONSE_BODY));
        }
        assert_eq!(server.stop.open_connections(), 0);
    });
}

/// Guards against a reset of a connection on which a request waits to be read.
#[test]
fn closing_the_connections_serves_requests_that_have_arrived() {
    const CONNECTIONS: usize = 20;
    run(async {
        let server = SlowServer::start(0).await;
        let mut callers: Vec<TcpStream> = (0..CONNECTIONS).map(|_| server.connect()).collect();
        sleep(Duration::from_millis(SETTLE_MS)).await;
        for caller in &mut callers {
            caller.write_all(REQUEST).unwrap();
        }
        server.stop.close_connections();
        sleep(Duration::from_millis(SETTLE_MS)).await;
        assert_eq!(server.read_requests.get(), CONNECTIONS);
        for caller in callers {
            assert!(read_to_end(caller).ends_with(RESPONSE_BODY));
        }
        assert_eq!(server.stop.open_connections(), 0);
    });
}

/// Guards against a reset of connections that arrive while the process does not run for longer
/// than the listener is still read.
#[test]
fn closing_the_listener_serves_connections_that_arrive_while_the_process_stands_still() {
    const CONNECTIONS: usize = 20;
    run(async {
        let server = SlowServer::start(0).await;
        server.stop.close_listener();
        sleep(Duration::from_millis(1)).await;
        let mut callers: Vec<TcpStream> = (0..CONNECTIONS).map(|_| server.connect()).collect();
        for caller in &mut callers {
            caller.write_all(REQUEST).unwrap();
        }
        std::thread::sleep(Duration::from_millis(STANDSTILL_MS));
        sleep(Duration::from_millis(SETTLE_MS)).await;
        assert_eq!(server.read_requests.get(), CONNECTIONS);
        server.stop.close_connections();
        sleep(Duration::from_millis(SETTLE_MS)).await;
        for caller in callers {
            assert!(read_to_end(caller).ends_with(RESPONSE_BODY));
        }
        assert_eq!(server.stop.open_connections(), 0);
    });
}

/// Guards against a closed connection under a request that arrives while the process does not run
/// for longer than an idle connection is still read.
#[test]
fn closing_the_connections_serves_requests_that_arrive_while_the_process_stands_still() {
    // How often the runtime asks the kernel depends on the number of tasks that run.
    for connections in [1, 2, 3, 4, 8, 20] {
        run(close_after_standstill(connections));
    }
}

/// Closes `connections` connections, to all of which a request comes in a standstill.
async fn close_after_standstill(connections: usize) {
    let server = SlowServer::start(0).await;
    let mut callers: Vec<TcpStream> = (0..connections).map(|_| server.connect()).collect();
    sleep(Duration::from_millis(SETTLE_MS)).await;
    server.stop.close_connections();
    sleep(Duration::from_millis(1)).await;
    for caller in &mut callers {
        caller.write_all(REQUEST).unwrap();
    }
    std::thread::sleep(Duration::from_millis(STANDSTILL_MS));
    sleep(Duration::from_millis(SETTLE_MS)).await;
    assert_eq!(server.read_requests.get(), connections);
    for caller in callers {
        assert!(read_to_end(caller).ends_with(RESPONSE_BODY));
    }
    assert_eq!(server.stop.open_connections(), 0);
}

/// Guards against a stop that ends the process while connections wait to be accepted.
#[test]
fn a_server_has_not_ended_before_its_listener_is_closed() {
    const CONNECTIONS: usize = 20;
    run(async {
        let server = SlowServer::start(0).await;
        server.stop.close_listener();
        sleep(Duration::from_millis(1)).await;
        let mut callers: Vec<TcpStream> = (0..CONNECTIONS).map(|_| server.connect()).collect();
        for caller in &mut callers {
            caller.write_all(REQUEST).unwrap();
        }
        std::thread::sleep(Duration::from_millis(STANDSTILL_MS));
        server.stop.close_connections();
        while !server.stop.has_ended() {
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(server.read_requests.get(), CONNECTIONS);
        assert!(TcpStream::connect(server.address).is_err());
        for caller in callers {
            assert!(read_to_end(caller).ends_with(RESPONSE_BODY));
        }
    });
}

/// Reads what the server sends until it closes the connection, and says how that ended.
fn read_until_closed(mut stream: &TcpStream) -> (String, std::io::Result<()>) {
    let mut bytes = Vec::new();
    let end = stream.read_to_end(&mut bytes).map(drop);
    (String::from_utf8_lossy(&bytes).into_owned(), end)
}

/// Guards against a response that is lost with a reset, because the rest of the body arrives
/// after the connection was closed.
#[test]
fn a_response_to_a_request_whose_body_still_arrives_reaches_the_caller() {
    run(async {
        let server = SlowServer::start(0).await;
        let mut caller = server.connect();
        caller
            .write_all(b"POST / HTTP/1.1\r\nhost: server\r\ncontent-length: 300000\r\n\r\n")
            .unwrap();
        sleep(Duration::from_millis(SETTLE_MS)).await;
        // The server has answered without the body.
        for _ in 0..3 {
            caller.write_all(&[b'x'; 100_000]).unwrap();
            sleep(Duration::from_millis(20)).await;
        }
        let (text, end) = read_until_closed(&caller);
        assert!(text.ends_with(RESPONSE_BODY), "{text}");
        assert!(end.is_ok(), "{end:?}");
        drop(caller);
        sleep(Duration::from_millis(SETTLE_MS)).await;
        assert_eq!(server.stop.open_connections(), 0);
    });
}

/// Guards against connections that stay open because their caller goes on sending.
#[test]
fn a_caller_that_sends_without_end_is_closed_after_a_while() {
    run(async {
        let server = SlowServer::start(0).await;
        let mut caller = server.connect();
        caller
            .write_all(b"POST / HTTP/1.1\r\nhost: server\r\ntransfer-encoding: chunked\r\n\r\n")
            .unwrap();
        for _ in 0..40 {
            let _ = caller.write_all(b"1\r\nx\r\n");
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(server.stop.open_connections(), 0);
    });
}
