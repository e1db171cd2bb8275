//! Limits of the clients of a server, through sockets.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::time::sleep;
use hyper::Response;

use crocushoist_transport::ClientEnd;
use crocushoist_transport::ClientEntrance;
use crocushoist_transport::ClientLimits;
use crocushoist_transport::ClientRegister;
use crocushoist_transport::ResponseBody;
use crocushoist_transport::ServerStop;
use crocushoist_transport::listen_on;
use crocushoist_transport::serve_clients;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: server\r\n\r\n";

/// Bytes of a response, more than sockets hold.
const RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Milliseconds after which a test gives up on the server.
const PATIENCE_MS: u64 = 20_000;

/// Server, and the ends of its clients that it reported.
struct LimitedServer {
    address: SocketAddr,
    ends: Rc<RefCell<Vec<ClientEnd>>>,
}

impl LimitedServer {
    async fn start(places: usize, limits: ClientLimits, response_bytes: usize) -> Self {
        let listener = listen_on(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
            .await
            .unwrap();
        let address = listener.local_addr().unwrap();
        let ends: Rc<RefCell<Vec<ClientEnd>>> = Rc::default();
        let told_ends = Rc::clone(&ends);
        let register = ClientRegister::new(1_000_000, move |end| told_ends.borrow_mut().push(end));
        let server = serve_clients(
            listener,
            ServerStop::default(),
            ClientEntrance::new(&register, places),
            move || limits,
            move |_, _| async move { Response::new(ResponseBody::buffered(vec![b'r'; response_bytes])) },
        );
        compio::runtime::spawn(server).detach();
        LimitedServer { address, ends }
    }

    /// Waits until the server has reported `end`.
    async fn wait_for(&self, end: ClientEnd) {
        let deadline = Instant::now() + Duration::from_millis(PATIENCE_MS);
        while !self.ends.borrow().contains(&end) {
            assert!(Instant::now() < deadline, "only {:?}", self.ends.borrow());
            sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Begin of what the server sends on `stream`; empty if it closes the connection.
async fn next_bytes(stream: &mut TcpStream) -> Vec<u8> {
    stream.set_nonblocking(true).unwrap();
    let deadline = Instant::now() + Duration::from_millis(PATIENCE_MS);
    let mut buffer = vec![0; 1_024];
    loop {
        match stream.read(&mut buffer) {
            Ok(count) => {
                buffer.truncate(count);
                return buffer;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return Vec::new(),
        }
        assert!(Instant::now() < deadline, "the server sends nothing");
        sleep(Duration::from_millis(1)).await;
    }
}

fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

#[test]
fn head_that_does_not_end_gets_a_refusal() {
    run(async {
        let limits = ClientLimits {
            head_ms: 100,
            ..ClientLimits::default()
        };
        let server = LimitedServer::start(10, limits, 1).await;
        let mut client = TcpStream::connect(server.address).unwrap();
        client.write_all(&REQUEST[..10]).unwrap();
        server.wait_for(ClientEnd::HeadLate).await;
        let response = next_bytes(&mut client).await;
        assert!(response.starts_with(b"HTTP/1.1 408"), "{response:?}");
    });
}

/// Guards against a client that takes its response so slowly that it is neither idle nor done.
#[test]
fn response_that_is_taken_too_slowly_ends() {
    run(async {
        let limits = ClientLimits {
            response_ms: 500,
            ..ClientLimits::default()
        };
        let server = LimitedServer::start(10, limits, RESPONSE_BYTES).await;
        let mut client = TcpStream::connect(server.address).unwrap();
        client.write_all(REQUEST).unwrap();
        client.set_nonblocking(true).unwrap();
        let reader = async {
            loop {
                // Enough for the kernel to open its window again.
                let _ = client.read(&mut [0; 8 * 1024]);
                sleep(Duration::from_millis(20)).await;
            }
        };
        let end = server.wait_for(ClientEnd::ResponseLate);
        futures_util::future::select(std::pin::pin!(end), std::pin::pin!(reader)).await;
    });
}

/// Guards against a request that is lost because its idle caller gave its place to another one at
/// the same moment.
#[test]
fn request_that_comes_while_its_caller_gives_way_is_served() {
    const ROUNDS: usize = 50;
    run(async {
        let server = LimitedServer::start(1, ClientLimits::default(), 1).await;
        let mut served = 0;
        for _ in 0..ROUNDS {
            let mut client = TcpStream::connect(server.address).unwrap();
            client.write_all(REQUEST).unwrap();
            assert!(!next_bytes(&mut client).await.is_empty());
            // The server runs on this thread, so it sees both at once.
            let mut other = TcpStream::connect(server.address).unwrap();
            client.write_all(REQUEST).unwrap();
            other.write_all(REQUEST).unwrap();
            for stream in [&mut client, &mut other] {
                served += usize::from(!next_bytes(stream).await.is_empty());
            }
        }
        assert_eq!(served, 2 * ROUNDS);
    });
}
