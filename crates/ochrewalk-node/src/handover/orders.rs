//! A supervisor's side of a rolling change: how its node stands, and the orders that it takes.

use super::counter_report::{CounterReport, CountersByMethod, ReportedCounters};
use ochrewalk_rollout::messages::{
    self, CommandMessage, NodeStatus, Reply, Request, Response, ServingCounters, Target, PROTOCOL_VERSION,
};
use ochrewalk_rollout::{Admission, CommitConfirm, Fence, FencingToken, Outcome, RevertAction};
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// What begins a message of this kind on the control socket.
pub const WORD: &str = "rollout";
/// A program that has told nothing for so long is not well.
const FRESH: Duration = Duration::from_secs(3);

/// A print of a file: its length, and a sum of what it holds.
pub fn print_of(file: &Path) -> std::io::Result<u64> {
    let mut file = std::fs::File::open(file)?;
    let (mut sum, mut length, mut chunk) = (crc32fast::Hasher::new(), 0u64, vec![0; 1 << 20]);
    loop {
        match file.read(&mut chunk)? {
            0 => return Ok(length << 32 | u64::from(sum.finalize())),
            got => {
                sum.update(&chunk[..got]);
                length += got as u64;
            }
        }
    }
}

/// What a node runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Image {
    pub program: PathBuf,
    /// The operators' file that it goes by, where that is not the one that the node was started with.
    pub operators: Option<PathBuf>,
}

/// What a program that serves is known by, and what it told last.
pub struct Serving {
    pub image: Image,
    pub print: u64,
    reported: Option<(Instant, ReportedCounters)>,
}

impl Serving {
    /// Of the running process itself, as its file may be another by now.
    pub fn of(image: Image, pid: u32) -> Serving {
        let print = print_of(Path::new(&format!("/proc/{pid}/exe"))).unwrap_or(0);
        Serving { image, print, reported: None }
    }

    /// Takes what the program reports.
    pub fn take(&mut self, report: CounterReport) {
        let (at, reported) =
            self.reported.get_or_insert_with(|| (Instant::now(), ReportedCounters::default()));
        *at = Instant::now();
        reported.take(report);
    }

    fn is_well(&self) -> bool {
        self.reported
            .as_ref()
            .is_some_and(|(at, reported)| at.elapsed() < FRESH && reported.latest.is_healthy)
    }

    /// Whether it runs that, whatever else it goes by.
    fn is(&self, wanted: &Target) -> bool {
        let settings = self.reported.as_ref().map_or(0, |(_, reported)| reported.latest.settings);
        wanted.print == if wanted.is_settings { settings } else { self.print }
    }
}

/// What the supervisor remembers of changes.
pub struct Orders {
    fence: Fence,
    trial: CommitConfirm,
    /// What ran before the trial began, and its program's print.
    back_to: Option<(Image, u64)>,
    begun: Instant,
    start: u64,
    /// Counts of programs that served before the one that does.
    before: CountersByMethod,
}

/// What is to be done with a request.
pub enum Deed {
    /// Nothing more: this is the answer.
    Answer(Reply),
    /// That takes over; the answer follows.
    Change(Image, Ordered),
}

/// An order that is being carried out.
#[derive(Clone, Copy, Debug)]
pub struct Ordered {
    mark: FencingToken,
    lease_us: u64,
    pub anew: bool,
}

impl Default for Orders {
    fn default() -> Orders {
        Orders {
            fence: Fence::default(),
            trial: CommitConfirm::default(),
            back_to: None,
            begun: Instant::now(),
            start: fastrand::u64(1..),
            before: CountersByMethod::default(),
        }
    }
}

impl Orders {
    fn now_us(&self) -> u64 {
        self.begun.elapsed().as_micros() as u64
    }

    /// One message of an owner's: what to do. While something is changing no order is begun.
    pub fn asked(&mut self, request: &Request, serving: Option<&Serving>, is_changing: bool) -> Deed {
        if request.version != PROTOCOL_VERSION {
            return Deed::Answer(Reply::Rejected(format!(
                "messages of version {PROTOCOL_VERSION} are known here"
            )));
        }
        self.fence.heard(request.conductor);
        self.trial.heard(self.now_us(), request.conductor, self.fence.highest().conductor);
        match (&request.order, serving) {
            (None, Some(serving)) => Deed::Answer(Reply::Status(self.stands(serving, is_changing))),
            (None, None) => Deed::Answer(Reply::Rejected("no program serves".into())),
            (Some(order), serving) => self.order(order, serving, is_changing),
        }
    }

    fn order(&mut self, order: &CommandMessage, serving: Option<&Serving>, is_changing: bool) -> Deed {
        let mark = order.mark();
        if is_changing && mark > self.fence.highest() {
            return Deed::Answer(Reply::Busy("another upgrade is under way".into()));
        }
        match self.fence.admit(mark) {
            Admission::Stale(highest) => return Deed::Answer(Reply::Stale(highest.into())),
            Admission::Repeated(outcome) => return Deed::Answer(Reply::Finished(outcome.into())),
            Admission::InProgress => return Deed::Answer(Reply::Busy("it is being carried out".into())),
            Admission::Execute => {}
        }
        let ordered = Ordered { mark, lease_us: order.lease_ms * 1_000, anew: order.anew };
        let (Some(wanted), Some(serving)) = (&order.wanted, serving) else {
            let why = "nothing is wanted, or no program serves";
            return Deed::Answer(self.ended(ordered, None, Outcome::Failed(why.into())));
        };
        // What runs already is there, for good or for the same trial.
        if serving.is(wanted) {
            return Deed::Answer(self.ended(ordered, None, Outcome::Done));
        }
        let path = PathBuf::from(&wanted.path);
        let (image, program) = if wanted.is_settings {
            let program = serving.image.program.clone();
            (Image { program: program.clone(), operators: Some(path.clone()) }, (program, serving.print))
        } else {
            let operators = serving.image.operators.clone();
            (Image { program: path.clone(), operators }, (path.clone(), wanted.print))
        };
        // Guards against files that were replaced since the plan was made, or since the program was started.
        let wrong =
            [(path, wanted.print), program].into_iter().find_map(|(path, print)| is_other(&path, print));
        match wrong {
            Some(why) => Deed::Answer(self.ended(ordered, None, Outcome::Failed(why))),
            None => Deed::Change(image, ordered),
        }
    }

    /// An order has come to its end: the answer to it. `before` is what ran until then, where that has changed.
    pub fn ended(&mut self, ordered: Ordered, before: Option<(Image, u64)>, outcome: Outcome) -> Reply {
        match (&outcome, ordered.lease_us) {
            (Outcome::Done, 0) => self.is_for_good(),
            // What has run before, for good, does not come on trial by being asked for again.
            (Outcome::Done, lease_us) if before.is_some() || self.trial.is_on() => {
                self.back_to = self.back_to.take().or(before);
                self.trial.began(self.now_us(), lease_us);
            }
            _ => {}
        }
        self.fence.ended(ordered.mark, outcome.clone());
        Reply::Finished(outcome.into())
    }

    /// What runs now stays.
    pub fn is_for_good(&mut self) {
        self.trial.is_for_good();
        self.back_to = None;
    }

    /// What a trial that is over needs now, and what is to run again.
    pub fn due(&mut self) -> Option<(Image, bool)> {
        let due = self.trial.due(self.now_us());
        let (image, print) = self.back_to.as_ref()?;
        match due {
            RevertAction::None => None,
            RevertAction::HandOver => Some((image.clone(), false)),
            // Guards the node: what is on trial still serves, and what ran before is not there any more.
            RevertAction::Restart if is_other(&image.program, *print).is_some() => {
                self.returned(false);
                None
            }
            RevertAction::Restart => Some((image.clone(), true)),
        }
    }

    /// What a trial needed has come to its end.
    pub fn returned(&mut self, is_done: bool) {
        self.trial.returned(self.now_us(), is_done);
        if is_done {
            self.back_to = None;
        }
    }

    /// For how long nothing is due.
    pub fn next(&self) -> Option<Duration> {
        self.trial.next_us().map(|us| Duration::from_micros(us.saturating_sub(self.now_us())))
    }

    /// A program that served is followed by another, whose counts begin at nothing.
    pub fn followed(&mut self, serving: &Serving) {
        if let Some((_, reported)) = &serving.reported {
            self.before.add(&reported.methods);
        }
    }

    fn stands(&self, serving: &Serving, is_changing: bool) -> NodeStatus {
        let tally = serving.reported.as_ref().map(|(_, reported)| {
            let mut methods = self.before.clone();
            methods.add(&reported.methods);
            ServingCounters { methods: methods.into_methods(), ..reported.latest.clone() }
        });
        NodeStatus {
            print: serving.print,
            path: serving.image.program.display().to_string(),
            highest: Some(self.fence.highest().into()),
            is_well: serving.is_well() && !is_changing,
            start: self.start,
            tally,
            on_trial: self.trial.is_on(),
        }
    }
}

/// Why a file does not hold what it should, if so.
fn is_other(path: &Path, print: u64) -> Option<String> {
    match print_of(path) {
        Err(err) => Some(format!("{}: {err}", path.display())),
        Ok(found) if found != print => Some(format!("{} is another file by now", path.display())),
        Ok(_) => None,
    }
}

pub fn say(stream: &mut UnixStream, said: Reply) {
    let _ = stream.write_all(&messages::write(&Response { version: PROTOCOL_VERSION, said: Some(said) }));
}

/// Asks a node by its control socket, from the conductor's side.
pub fn ask(control: &Path, request: &Request, patience: Duration) -> std::io::Result<Response> {
    let mut stream = UnixStream::connect(control)?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_write_timeout(Some(patience))?;
    stream.write_all(format!("{WORD}\n").as_bytes())?;
    stream.write_all(&messages::write(request))?;
    messages::read(&mut stream)
}
