//! Accepts connections for as long as the process runs, whatever fails.

use std::io;
use std::net;
use std::thread;
use std::time;

/// The pause after a connection could not be accepted or set up. Without it the thread would spin
/// where file descriptors or threads have run out, which takes time to pass.
pub const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Passes each connection to `set_up`, which must not block; never returns.
///
/// A connection that can't be set up is closed; `name` says in the log whose connections they are.
pub fn serve(
    name: &str,
    listener: &net::TcpListener,
    mut set_up: impl FnMut(net::TcpStream) -> io::Result<()>,
) -> ! {
    loop {
        let result = listener.accept().and_then(|(stream, _)| set_up(stream));
        if let Err(error) = result {
            log::warn!("a connection for {name} can't be served: {error}");
            thread::sleep(RETRY_PAUSE);
        }
    }
}
