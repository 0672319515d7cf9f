//! Signals that begin a planned stop.

use std::{io, rc::Rc, thread};

use log::info;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use stakker::{
    Stakker, fwd_do,
    sync::{Channel, ChannelGuard},
};

use crate::context::DaemonContext;

/// Requests a planned stop at SIGTERM or SIGINT, until the returned guard is dropped.
///
/// Signals are received in a separate thread, so that a stop can begin while any
/// part, including the side thread, is being restarted.
pub fn watch_signals(
    stakker: &mut Stakker,
    context: Rc<DaemonContext>,
) -> io::Result<ChannelGuard> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let begin_stop = fwd_do!(move |signal: i32| {
        info!("life: signal {signal}");
        context.is_stop_requested.set(true);
    });
    let (channel, guard) = Channel::new(stakker, begin_stop);
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for signal in signals.forever() {
            channel.send(signal);
        }
    })?;
    Ok(guard)
}
