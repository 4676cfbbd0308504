//! A client's link with a small window and little bandwidth.

use std::io::{self, Read};
use std::net;
use std::os::fd::FromRawFd;
use std::thread;
use std::time::Duration;

/// The receive buffer that a client asks for; the kernel doubles it.
const WINDOW_BYTES: i32 = 8 * 1024;

/// The pause after each read.
const PAUSE: Duration = Duration::from_millis(2);

/// How many bytes a second a link carries.
#[derive(Debug, Clone, Copy)]
pub struct Speed(pub usize);

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, address: *const SocketAddress, len: u32) -> i32;
}

/// Opens a connection whose receive buffer is small from its start.
pub fn open(address: net::SocketAddr) -> io::Result<net::TcpStream> {
    let net::SocketAddr::V4(address) = address else {
        return Err(io::Error::other("not an IPv4 address"));
    };
    let address = SocketAddress {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: plain system calls on a socket that is created here; the pointers outlive the calls.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = net::TcpStream::from_raw_fd(fd);
        if setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, 4) != 0
            || connect(fd, &address, 16) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Reads from a connection as fast as the link allows.
pub struct SlowReader {
    pub stream: net::TcpStream,
    pub speed: Speed,
}

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let piece_bytes = self.speed.0 * PAUSE.as_millis() as usize / 1_000;
        let len = buffer.len().min(piece_bytes);
        let read = self.stream.read(&mut buffer[..len]);
        thread::sleep(PAUSE);
        read
    }
}
