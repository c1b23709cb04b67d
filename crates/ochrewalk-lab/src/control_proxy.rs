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
pub enum ProxyMode {
    Forward,
    /// Nothing is passed on, and nobody is told.
    Silent,
    /// What is asked is passed on; no answer ever comes.
    DropReplies,
    /// What is asked is passed on, and the link ends before the answer.
    CloseBeforeReply,
}

const MODES: [ProxyMode; 4] =
    [ProxyMode::Forward, ProxyMode::Silent, ProxyMode::DropReplies, ProxyMode::CloseBeforeReply];
/// How long a silent link keeps its ends waiting.
const SILENT_FOR: Duration = Duration::from_secs(30);

/// A link that listens until the process ends.
pub struct ControlProxy {
    mode: Arc<AtomicU8>,
}

impl ControlProxy {
    pub fn start(at: &Path, to: PathBuf) -> std::io::Result<ControlProxy> {
        let listener = UnixListener::bind(at)?;
        let proxy = ControlProxy { mode: Arc::default() };
        let mode = proxy.mode.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (mode, to) = (mode.clone(), to.clone());
                std::thread::spawn(move || forward(stream, &to, &mode));
            }
        });
        Ok(proxy)
    }

    pub fn set(&self, mode: ProxyMode) {
        let at = MODES.iter().position(|known| *known == mode).unwrap_or(0);
        self.mode.store(at as u8, Ordering::Relaxed);
    }
}

/// One message each way: all that is spoken there.
fn forward(client: UnixStream, to: &Path, mode: &AtomicU8) -> Option<()> {
    let mode_now = || MODES[usize::from(mode.load(Ordering::Relaxed))];
    if mode_now() == ProxyMode::Silent {
        std::thread::sleep(SILENT_FOR);
        return None;
    }
    let supervisor = UnixStream::connect(to).ok()?;
    let (mut reads, mut writes) = (client.try_clone().ok()?, supervisor.try_clone().ok()?);
    std::thread::spawn(move || copy(&mut reads, &mut writes, &|| true));
    let initial_mode = mode_now();
    if initial_mode == ProxyMode::CloseBeforeReply {
        // Until the supervisor has read it: its answer, or its end, shows that.
        let _ = (&supervisor).read(&mut [0; 1]);
        return None;
    }
    let (mut reads, mut writes) = (supervisor, client);
    copy(&mut reads, &mut writes, &|| mode_now() == ProxyMode::Forward);
    if mode_now() == ProxyMode::DropReplies {
        std::thread::sleep(SILENT_FOR);
    }
    Some(())
}

/// Until either end closes.
fn copy(from: &mut UnixStream, to: &mut UnixStream, may_forward: &dyn Fn() -> bool) {
    let mut chunk = [0; 4096];
    while let Ok(got) = from.read(&mut chunk) {
        if got == 0 || may_forward() && to.write_all(&chunk[..got]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}
