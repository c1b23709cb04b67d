//! Runs a publisher or a relay in the foreground until a signal ends it.

use crate::arguments::{RelayArguments, ServeArguments, DEFAULT_CONNECTIONS};
use crate::error::ConfigCommandError;
use ochrewalk_control_plane::publisher::{Publisher, PublisherSettings};
use ochrewalk_control_plane::relay::{Relay, RelaySettings};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Runs the publisher.
pub(crate) fn serve(arguments: ServeArguments) -> Result<(), ConfigCommandError> {
    let settings = PublisherSettings {
        listen: arguments.listen,
        control: arguments.control,
        log: arguments.log_file,
        takes_over: arguments.take_over,
        max_connections: DEFAULT_CONNECTIONS,
    };
    let mut publisher = Publisher::open(&settings)?;
    let waker = publisher.waker();
    let stop = stop_on_signal(move || drop(waker.wake()))?;
    tracing::info!(part = "config", place = %arguments.listen, "publisher listens");
    Ok(publisher.run(&stop)?)
}

/// Runs a relay.
pub(crate) fn relay(arguments: RelayArguments) -> Result<(), ConfigCommandError> {
    let settings = RelaySettings {
        name: arguments.name,
        region: arguments.region,
        listen: arguments.listen,
        publishers: arguments.publisher,
        max_connections: arguments.connections,
        seed: fastrand::u64(..),
    };
    let mut relay = Relay::open(&settings)?;
    // No wake-up is needed, as a relay checks the flag twice a second.
    let stop = stop_on_signal(|| ())?;
    tracing::info!(part = "config", place = %settings.listen, "relay {} listens", settings.name);
    Ok(relay.run(&stop)?)
}

/// Returns a flag that SIGTERM or SIGINT sets. `wake` is called after the flag is set.
fn stop_on_signal(wake: impl Fn() + Send + 'static) -> Result<Arc<AtomicBool>, ConfigCommandError> {
    let stop = Arc::new(AtomicBool::new(false));
    let mut signals =
        signal_hook::iterator::Signals::new([SIGTERM, SIGINT]).map_err(ConfigCommandError::Signals)?;
    let stop_requested = stop.clone();
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            stop_requested.store(true, Ordering::Relaxed);
            wake();
        }
    });
    Ok(stop)
}
