//! Turns process signals into shutdown and reload actions.

use std::io;
use std::thread;

use signal_hook::consts;
use signal_hook::iterator;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// The action that a signal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Shut down: SIGTERM or SIGINT.
    Shutdown,
    /// Reload the settings: SIGHUP.
    Reload,
}

/// Returns a channel that receives one message on the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signal handlers can't be installed.
pub fn on_shutdown() -> io::Result<oneshot::Receiver<()>> {
    let mut signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT])?;
    let (sender, receiver) = oneshot::channel();
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        if signals.forever().next().is_some() && sender.send(()).is_err() {
            log::debug!("signal ignored; the process is already shutting down");
        }
    })?;
    Ok(receiver)
}

/// Returns a channel that receives an action for each SIGTERM, SIGINT and SIGHUP.
///
/// # Errors
///
/// Returns an error if the signal handlers can't be installed.
pub fn actions() -> io::Result<mpsc::UnboundedReceiver<Action>> {
    let all = [consts::SIGTERM, consts::SIGINT, consts::SIGHUP];
    let mut signals = iterator::Signals::new(all)?;
    let (sender, receiver) = mpsc::unbounded_channel();
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for signal in signals.forever() {
            let action = if signal == consts::SIGHUP { Action::Reload } else { Action::Shutdown };
            if sender.send(action).is_err() {
                return;
            }
        }
    })?;
    Ok(receiver)
}
