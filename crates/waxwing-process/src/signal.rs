//! Waits for orders that come as signals.

use std::io;
use std::thread;

use signal_hook::consts;
use signal_hook::iterator;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// What a process is told by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// To end: SIGTERM or SIGINT.
    Shutdown,
    /// To read its settings again: SIGHUP.
    Reload,
}

/// Returns a channel that speaks when the process is told to end by SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error where the signals can't be caught.
pub fn on_shutdown() -> io::Result<oneshot::Receiver<()>> {
    let mut signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT])?;
    let (sender, receiver) = oneshot::channel();
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        if signals.forever().next().is_some() && sender.send(()).is_err() {
            log::debug!("the process ends already");
        }
    })?;
    Ok(receiver)
}

/// Returns a channel with all orders that the process gets.
///
/// # Errors
///
/// Returns an error where the signals can't be caught.
pub fn actions() -> io::Result<mpsc::UnboundedReceiver<Action>> {
    let all = [consts::SIGTERM, consts::SIGINT, consts::SIGHUP];
    let mut signals = iterator::Signals::new(all)?;
    let (sender, receiver) = mpsc::unbounded_channel();
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for signal in signals.forever() {
            let order = if signal == consts::SIGHUP { Action::Reload } else { Action::Shutdown };
            if sender.send(order).is_err() {
                return;
            }
        }
    })?;
    Ok(receiver)
}
