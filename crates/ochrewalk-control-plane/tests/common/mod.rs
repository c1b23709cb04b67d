//! A publisher that runs in a thread of the test.
#![allow(dead_code)]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ochrewalk_control_plane::control::send_request;
use ochrewalk_control_plane::publisher::{Publisher, PublisherSettings};
use ochrewalk_distribution::messages::{Body, Publish, Status, StatusRequest};
use ochrewalk_operator_config::resources::read_changes;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// A timeout that is far longer than any successful operation.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub struct RunningPublisher {
    pub address: SocketAddr,
    pub control: PathBuf,
    stop: Arc<AtomicBool>,
    waker: Arc<mio::Waker>,
    thread: Option<JoinHandle<()>>,
}

impl RunningPublisher {
    pub fn start(folder: &Path) -> RunningPublisher {
        let control = folder.join("control");
        let settings = PublisherSettings {
            listen: "127.0.0.1:0".parse().unwrap(),
            control: control.clone(),
            log: folder.join("log"),
            takes_over: false,
            max_connections: 64,
        };
        let mut publisher = Publisher::open(&settings).unwrap();
        let (address, waker) = (publisher.address().unwrap(), publisher.waker());
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = stop.clone();
        let thread = std::thread::spawn(move || publisher.run(&stop_flag).unwrap());
        RunningPublisher { address, control, stop, waker, thread: Some(thread) }
    }

    pub fn publish(&self, changes: &str) -> Body {
        let changes = read_changes(changes, "changes").unwrap();
        send_request(&self.control, Body::Publish(Publish { changes, expected: None })).unwrap()
    }

    pub fn status(&self) -> Status {
        match send_request(&self.control, Body::StatusRequest(StatusRequest {})).unwrap() {
            Body::Status(status) => status,
            other => panic!("{other:?}"),
        }
    }
}

impl Drop for RunningPublisher {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.waker.wake();
        let _ = self.thread.take().unwrap().join();
    }
}
