//! Proxies between a rollout controller and the nodes' supervisors: Unix sockets that forward messages, and that can
//! be set to forward nothing, to drop the replies, or to close the connection after the command.

use std::io::{Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The behavior of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    Forward,
    /// Forwards nothing, without an error to either side.
    Silent,
    /// Forwards commands and drops all replies.
    DropReplies,
    /// Forwards the command and closes the connection before the reply.
    CloseBeforeReply,
}

const MODES: [ProxyMode; 4] =
    [ProxyMode::Forward, ProxyMode::Silent, ProxyMode::DropReplies, ProxyMode::CloseBeforeReply];
/// The time for which a silent proxy keeps both sides waiting.
const SILENT_FOR: Duration = Duration::from_secs(30);

/// A proxy that listens until the process ends.
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

/// Forwards one message in each direction, which is the complete exchange of a control connection.
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
        // The first byte of the reply, or the end of the connection, shows that the supervisor has read the command.
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

/// Copies bytes until either side closes, and drops them while `may_forward` is false.
fn copy(from: &mut UnixStream, to: &mut UnixStream, may_forward: &dyn Fn() -> bool) {
    let mut chunk = [0; 4096];
    while let Ok(got) = from.read(&mut chunk) {
        if got == 0 || may_forward() && to.write_all(&chunk[..got]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}
