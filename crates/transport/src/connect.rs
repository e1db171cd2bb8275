//! Opens outgoing TCP connections and listening sockets.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpListener;
use compio::net::TcpSocket;
use compio::net::TcpStream;
use compio::time::timeout;

use crate::TransportError;

/// Most connections that wait to be accepted on one listening socket.
pub(crate) const LISTEN_BACKLOG: i32 = 1_024;

/// Size in bytes of the kernel's buffers for each direction of an accepted connection.
///
/// The kernel would let them grow to some MB for a client that sends fast, and doubles this number
/// for its own use.
const KERNEL_BUFFER_BYTES: u32 = 16 * 1024;

/// Size in bytes of the kernel's buffer for what is sent on an outgoing connection.
const SEND_BUFFER_BYTES: u32 = 64 * 1024;

/// Time after which a listening socket is tried again on which no connection could be accepted.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Milliseconds that sent bytes may stay unacknowledged before the kernel closes the connection.
///
/// Long enough for three retransmissions, and short enough that a dead
/// connection fails well before the deadline of a caller's request.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 1_500;

/// Connects to `address` from the local address `source`.
///
/// Fails with `Timeout` after `timeout_ms` milliseconds, and with `Connect` on a socket error.
pub async fn connect_from(
    source: Option<IpAddr>,
    address: SocketAddr,
    timeout_ms: u64,
) -> Result<TcpStream, TransportError> {
    let connected = timeout(Duration::from_millis(timeout_ms), connect(source, address)).await;
    connected
        .map_err(|_| TransportError::Timeout {
            address,
            timeout_ms,
        })?
        .map_err(|error| TransportError::Connect { address, error })
}

async fn connect(source: Option<IpAddr>, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = new_socket(address).await?;
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0)).await?;
    }
    socket.set_nodelay(true)?;
    // A request that the kernel holds looks sent, however little of it the other side takes.
    let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
    let stream = socket.connect(address).await?;
    close_when_unacknowledged(&stream)?;
    Ok(stream)
}

/// Makes the kernel close `stream` when sent bytes stay unacknowledged for too long.
pub(crate) fn close_when_unacknowledged(stream: &TcpStream) -> std::io::Result<()> {
    let socket = stream.to_poll_fd()?;
    rustix::net::sockopt::set_tcp_user_timeout(&socket, UNACKNOWLEDGED_TIMEOUT_MS)?;
    Ok(())
}

/// Makes the kernel reset the connection, and forget what it holds for it, when `stream` is closed.
pub(crate) fn reset_on_close(stream: &TcpStream) {
    // Without the option the connection is closed and the kernel goes on writing.
    if let Ok(socket) = stream.to_poll_fd() {
        let _ = rustix::net::sockopt::set_socket_linger(&socket, Some(Duration::ZERO));
    }
}

/// Listens on `address`; fails with `Listen` on a socket error.
pub async fn listen_on(address: SocketAddr) -> Result<TcpListener, TransportError> {
    listen(address)
        .await
        .map_err(|error| TransportError::Listen { address, error })
}

async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = new_socket(address).await?;
    socket.set_reuseaddr(true)?;
    // Accepted connections have the sizes of the listener. Without them the kernel's own apply.
    let _ = socket.set_recv_buffer_size(KERNEL_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(KERNEL_BUFFER_BYTES);
    socket.bind(address).await?;
    socket.listen(LISTEN_BACKLOG).await
}

async fn new_socket(address: SocketAddr) -> std::io::Result<TcpSocket> {
    match address {
        SocketAddr::V4(_) => TcpSocket::new_v4().await,
        SocketAddr::V6(_) => TcpSocket::new_v6().await,
    }
}
