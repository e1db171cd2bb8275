//! Calls whose connection the server closes.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;

use crocushoist_transport::HttpClient;
use crocushoist_transport::TransportError;

/// Milliseconds in which the server has closed a connection.
const CLOSE_MS: u64 = 50;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Serves one request and closes its connection, then reads another one on a new connection and
/// closes that without a response.
fn serve_once(listener: TcpListener) {
    for response in [Some(RESPONSE), None] {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(stream.read(&mut [0; 1_024]).unwrap() > 0);
        if let Some(response) = response {
            stream.write_all(response).unwrap();
        }
    }
}

/// Guards against a call that counts as never sent although the server has read it, after a kept
/// connection was closed.
#[test]
fn request_that_was_read_on_a_second_connection_does_not_count_as_unsent() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || serve_once(listener));
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut client = HttpClient::new(None, address, 2_000);
        client.call("GET", "/", &[], Bytes::new()).await.unwrap();
        // The client does not run meanwhile, so it does not see that the connection is closed.
        std::thread::sleep(Duration::from_millis(CLOSE_MS));
        let result = client.call("GET", "/", &[], Bytes::new()).await;
        let error = result.map(drop).unwrap_err();
        assert!(
            !matches!(error, TransportError::Connect { .. }),
            "{error:?}"
        );
    });
    server.join().unwrap();
}
