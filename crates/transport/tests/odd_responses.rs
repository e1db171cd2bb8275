//! Responses that HTTP does not allow, as every reader of the project meets them.
//!
//! The store, other hosts and instances are all read through the same client.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::TcpListener;

use bytes::Bytes;
use yare::parameterized;

use crocushoist_transport::HttpClient;

const TIMEOUT_MS: u64 = 5_000;

/// Responds with `response` to one request.
fn respond_once(response: &'static [u8]) -> std::net::SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 1_024];
        let _ = stream.read(&mut buffer).unwrap();
        stream.write_all(response).unwrap();
    });
    address
}

/// Guards against a response with an odd head that counts as one.
#[parameterized(
    status_000 = { b"HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nok" },
    status_099 = { b"HTTP/1.1 099 OK\r\ncontent-length: 2\r\n\r\nok" },
    status_1000 = { b"HTTP/1.1 1000 OK\r\ncontent-length: 2\r\n\r\nok" },
    blank_in_name = { b"HTTP/1.1 200 OK\r\nodd name: 1\r\ncontent-length: 2\r\n\r\nok" },
    tab_in_name = { b"HTTP/1.1 200 OK\r\nodd\tname: 1\r\ncontent-length: 2\r\n\r\nok" },
    control_in_name = { b"HTTP/1.1 200 OK\r\nodd\x01: 1\r\ncontent-length: 2\r\n\r\nok" },
    blank_before_colon = { b"HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\nok" },
    no_colon = { b"HTTP/1.1 200 OK\r\nno colon\r\ncontent-length: 2\r\n\r\nok" },
    two_lengths = { b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 1\r\n\r\nok" },
    folded_line = { b"HTTP/1.1 200 OK\r\nodd: 1\r\n 2\r\ncontent-length: 2\r\n\r\nok" },
    control_in_value = { b"HTTP/1.1 200 OK\r\nodd: \x00\r\ncontent-length: 2\r\n\r\nok" },
    short_body = { b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok" },
    short_chunk = { b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nok" },
)]
fn odd_response_is_an_error(response: &'static [u8]) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut client = HttpClient::new(None, respond_once(response), TIMEOUT_MS);
        let called = client.call("GET", "/", &[], Bytes::new()).await;
        assert!(called.is_err(), "{called:?}");
    });
}

/// Guards against responses that are read for as long as the other side sends.
#[test]
fn response_without_end_is_an_error() {
    const PART_BYTES: usize = 64 * 1024;
    const MAX_PARTS: usize = 4_096;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 1_024];
        let _ = stream.read(&mut buffer).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
        let part = vec![b'a'; PART_BYTES];
        let taken = (0..MAX_PARTS).take_while(|_| stream.write_all(&part).is_ok());
        taken.count()
    });
    compio::runtime::Runtime::new().unwrap().block_on(async {
        const LONG_TIMEOUT_MS: u64 = 60_000;
        let mut client = HttpClient::new(None, address, LONG_TIMEOUT_MS);
        let called = client.call("GET", "/", &[], Bytes::new()).await;
        assert!(called.is_err());
    });
    let taken_parts = server.join().unwrap();
    assert!(taken_parts < MAX_PARTS, "all {taken_parts} parts were read");
}
