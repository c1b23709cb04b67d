//! Links between a conductor and nodes' supervisors: Unix sockets that pass messages on, until they are told to be silent, to
//! lose the answers, or to end after the command.

use std::io::{Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How a link fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fare {
    Passes,
    /// Nothing is passed on, and nobody is told.
    Silent,
    /// What is asked is passed on; no answer ever comes.
    Mute,
    /// What is asked is passed on, and the link ends before the answer.
    Breaks,
}

const FARES: [Fare; 4] = [Fare::Passes, Fare::Silent, Fare::Mute, Fare::Breaks];
/// How long a silent link keeps its ends waiting.
const SILENCE: Duration = Duration::from_secs(30);

/// A link that listens until the process ends.
pub struct Relay {
    fare: Arc<AtomicU8>,
}

impl Relay {
    pub fn start(at: &Path, to: PathBuf) -> std::io::Result<Relay> {
        let listener = UnixListener::bind(at)?;
        let relay = Relay { fare: Arc::default() };
        let fare = relay.fare.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (fare, to) = (fare.clone(), to.clone());
                std::thread::spawn(move || pass(stream, &to, &fare));
            }
        });
        Ok(relay)
    }

    pub fn set(&self, fare: Fare) {
        let at = FARES.iter().position(|known| *known == fare).unwrap_or(0);
        self.fare.store(at as u8, Ordering::Relaxed);
    }
}

/// One message each way: all that is spoken there.
fn pass(asker: UnixStream, to: &Path, fare: &AtomicU8) -> Option<()> {
    let fares = || FARES[usize::from(fare.load(Ordering::Relaxed))];
    if fares() == Fare::Silent {
        std::thread::sleep(SILENCE);
        return None;
    }
    let supervisor = UnixStream::connect(to).ok()?;
    let (mut reads, mut writes) = (asker.try_clone().ok()?, supervisor.try_clone().ok()?);
    std::thread::spawn(move || copy(&mut reads, &mut writes, &|| true));
    let breaks = fares();
    if breaks == Fare::Breaks {
        // Until the supervisor has read it: its answer, or its end, shows that.
        let _ = (&supervisor).read(&mut [0; 1]);
        return None;
    }
    let (mut reads, mut writes) = (supervisor, asker);
    copy(&mut reads, &mut writes, &|| fares() == Fare::Passes);
    if fares() == Fare::Mute {
        std::thread::sleep(SILENCE);
    }
    Some(())
}

/// Until either end closes.
fn copy(from: &mut UnixStream, to: &mut UnixStream, passes: &dyn Fn() -> bool) {
    let mut chunk = [0; 4096];
    while let Ok(got) = from.read(&mut chunk) {
        if got == 0 || passes() && to.write_all(&chunk[..got]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}
