//! Waits for the order to end.

use std::io;
use std::thread;

use signal_hook::consts;
use signal_hook::iterator;
use tokio::sync::oneshot;

/// Returns a channel that speaks when the process is told to end by SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error where the signals can't be caught.
pub fn order_to_end() -> io::Result<oneshot::Receiver<()>> {
    let mut signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT])?;
    let (sender, receiver) = oneshot::channel();
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        if signals.forever().next().is_some() && sender.send(()).is_err() {
            log::debug!("the process ends already");
        }
    })?;
    Ok(receiver)
}
