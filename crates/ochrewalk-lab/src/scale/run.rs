//! The phases of a scale run: fill the publisher, start the fleet, publish changes and inject faults, and compare
//! states at the end.

use super::faults::{steps, FaultStep, BURST_BATCH, BURST_CHANGES};
use super::hollow::Command;
use super::load::RealLoad;
use super::options::{Fault, ScaleOptions};
use super::probes::RouteProbes;
use super::processes::{memory_kb, start_hollow, wait_until, ControlPlane, HollowProcess};
use super::real::{RealNodes, OWN_PATH};
use super::report::{Change, Measurements, RegionCut};
use super::slow::SlowSubscribers;
use super::workload::{ChangeSource, METHODS, UNKNOWN_METHOD};
use super::{monotonic_us, ScaleError};
use crate::node::cpu_us;
use ochrewalk_distribution::messages::{Position, Resource, Status};
use ochrewalk_distribution::MAX_BATCH_CHANGES;
use rustix::process::Signal;
use std::collections::{BTreeSet, VecDeque};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const MAX_PROCESSES: usize = 200;
/// The time limit in seconds until all relays and nodes have all resources.
const START_SECONDS: u64 = 90;
/// The time limit in seconds until the last change is in force.
const SETTLE_SECONDS: u64 = 10;
/// The time limit in seconds for the reports of all hollow nodes.
const REPORT_SECONDS: u64 = 30;
/// The time for which the CPU use of idle nodes is measured.
const IDLE_MEASUREMENT_TIME: Duration = Duration::from_secs(3);
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The route of a bad change, which belongs to the scope of the first real node.
const BAD_ROUTE: u64 = 0;

/// The folder of a run's files, removed at the end of the run.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct Fleet<'a> {
    options: &'a ScaleOptions,
    network: u8,
    control_plane: ControlPlane,
    real: RealNodes,
    hollow: Vec<HollowProcess>,
    source: ChangeSource,
    measured: Measurements,
    /// The remaining steps of the fault.
    steps: VecDeque<(Duration, FaultStep)>,
    began: Instant,
    is_first_region_cut: bool,
    first_region_bytes_before: u64,
    rejecting: BTreeSet<String>,
    slow_nodes: SlowSubscribers,
    probes: RouteProbes,
    load: RealLoad,
}

/// Runs the measurement and prints the result, whose last line is JSON. Returns whether no rule was violated.
pub fn run(options: &ScaleOptions, program: &Path) -> Result<bool, ScaleError> {
    let network = 20 + (std::process::id() % 200) as u8;
    let processes = check_processes(options)?;
    let folder = Folder(std::env::temp_dir().join(format!("ochrewalk-scale-{}", std::process::id())));
    std::fs::create_dir_all(&folder.0)?;
    let mut fleet = Fleet::start(options, program, &folder.0, network)?;
    fleet.measured.processes = processes;
    fleet.change()?;
    fleet.settle()?;
    fleet.report()?;
    let measured = &fleet.measured;
    println!("{}", measured.line(&options.shape));
    Ok(measured.broken() == 0 && measured.diverged() == 0)
}

/// Returns the number of processes of a run, including the current one. Fails if it exceeds the limit.
fn check_processes(options: &ScaleOptions) -> Result<usize, ScaleError> {
    let relays = usize::from(options.shape.regions) * usize::from(options.shape.relays);
    let processes = 2 + relays + options.real as usize + options.hollow_processes as usize;
    if processes > MAX_PROCESSES {
        return Err(ScaleError::TooManyProcesses { processes, max: MAX_PROCESSES });
    }
    Ok(processes)
}

fn fill(control_plane: &ControlPlane, options: &ScaleOptions) -> Result<(), ScaleError> {
    let mut resources = options.shape.initial_resources();
    loop {
        let batch: Vec<Resource> = resources.by_ref().take(MAX_BATCH_CHANGES).collect();
        if batch.is_empty() {
            return Ok(());
        }
        control_plane.publish(batch)?;
    }
}

fn all_ready(hollow: &[HollowProcess]) -> bool {
    hollow.iter().all(|process| process.status().ready == process.count)
}

/// Returns the number of nodes of all regions that have applied the published position.
fn nodes_at_head(status: &Status) -> u64 {
    let of_regions = status.regions.iter().filter(|region| !region.region.is_empty());
    let counts = of_regions.flat_map(|region| &region.in_force);
    counts.filter(|count| count.position == status.position).map(|count| count.nodes).sum()
}

impl<'a> Fleet<'a> {
    fn start(
        options: &'a ScaleOptions,
        program: &Path,
        folder: &Path,
        network: u8,
    ) -> Result<Fleet<'a>, ScaleError> {
        let shape = &options.shape;
        let mut control_plane = ControlPlane::start(program, folder, network)?;
        control_plane.start_relays(shape, network)?;
        let relays = u64::from(shape.regions) * u64::from(shape.relays);
        // Connected relays receive the initial resources as differences. Relays that connect later would fetch
        // snapshots, which the publisher limits in rate.
        wait_until("all relays are connected", START_SECONDS, || are_relays_at_head(&control_plane, relays))?;
        let filling = Instant::now();
        fill(&control_plane, options)?;
        wait_until("all relays have all resources", START_SECONDS, || {
            are_relays_at_head(&control_plane, relays)
        })?;
        let fill_s = filling.elapsed().as_secs_f64();
        eprintln!("all resources published and at all relays in {fill_s:.1} s");
        let starting = Instant::now();
        let hollow = start_hollow(options, network, &control_plane.control())?;
        wait_until("all hollow nodes are ready", START_SECONDS, || all_ready(&hollow))?;
        let real = RealNodes::start(program, shape, options.real, network, folder)?;
        wait_until("all nodes are at the head", START_SECONDS, || {
            control_plane.status().is_ok_and(|status| nodes_at_head(&status) == options.nodes)
        })?;
        let start_s = starting.elapsed().as_secs_f64();
        eprintln!("all nodes have all resources after {start_s:.1} s");
        let measured = Measurements {
            nodes: options.nodes,
            real: options.real,
            fill_s,
            start_s,
            ..Measurements::default()
        };
        let probes = RouteProbes::new(real.ajp_addresses.iter().copied());
        let load = RealLoad::start(real.ajp_addresses.iter().copied(), OWN_PATH, shape.hot_tenants());
        Ok(Fleet {
            options,
            network,
            control_plane,
            real,
            hollow,
            source: ChangeSource::new(shape),
            measured,
            steps: steps(options.faults, options.seconds).into(),
            began: Instant::now(),
            is_first_region_cut: false,
            first_region_bytes_before: 0,
            rejecting: BTreeSet::new(),
            slow_nodes: SlowSubscribers::default(),
            probes,
            load,
        })
    }

    fn command_hollow(&mut self, command: Command) -> Result<(), ScaleError> {
        self.hollow.iter_mut().try_for_each(|process| process.send(command))
    }

    fn first_region_bytes(&self) -> u64 {
        self.hollow.iter().map(|process| process.status().first_region_bytes).sum()
    }

    /// Publishes changes at their rate, takes the steps of the fault at their times, and measures the CPU use.
    fn change(&mut self) -> Result<(), ScaleError> {
        let real: Vec<u32> = self.real.nodes.iter().map(|node| node.id()).collect();
        let idle = CpuWatch::start(&real);
        std::thread::sleep(IDLE_MEASUREMENT_TIME);
        let idle_shares = idle.shares();
        self.command_hollow(Command::Measure)?;
        self.began = Instant::now();
        let relays: Vec<u32> = self.control_plane.relays.iter().flatten().map(|relay| relay.id()).collect();
        let hollow: Vec<u32> = self.hollow.iter().map(|process| process.process.id()).collect();
        let (real, relays) = (CpuWatch::start(&real), CpuWatch::start(&relays));
        let (hollow, publisher) =
            (CpuWatch::start(&hollow), CpuWatch::start(&[self.control_plane.publisher.id()]));
        let count = (self.options.rate * self.options.seconds as f64).round() as u64;
        for number in 0..count {
            self.wait_for(Duration::from_secs_f64(number as f64 / self.options.rate))?;
            self.publish_next()?;
        }
        self.wait_for(Duration::from_secs(self.options.seconds))?;
        let beyond = real.shares().into_iter().zip(&idle_shares).map(|(busy, idle)| busy - idle);
        self.measured.node.cpu_share = beyond.fold(0.0, f64::max);
        self.measured.node_resting_share = largest(&idle_shares);
        self.measured.relay.cpu_share = largest(&relays.shares());
        self.measured.publisher.cpu_share = largest(&publisher.shares());
        let simulated = (self.options.nodes - self.options.real).max(1) as f64;
        self.measured.hollow_cpu_share = hollow.shares().iter().sum::<f64>() / simulated;
        Ok(())
    }

    /// Waits until `at`, and takes all steps that are due before.
    fn wait_for(&mut self, at: Duration) -> Result<(), ScaleError> {
        while let Some((when, step)) = self.steps.pop_front_if(|(when, _)| *when <= at) {
            std::thread::sleep(when.saturating_sub(self.began.elapsed()));
            self.take(step)?;
        }
        std::thread::sleep(at.saturating_sub(self.began.elapsed()));
        Ok(())
    }

    /// Publishes the next change, together with one that is probed at a real node which can receive it.
    fn publish_next(&mut self) -> Result<(), ScaleError> {
        let (shape, cut) = (&self.options.shape, self.is_first_region_cut);
        let rejects = self.options.faults == Fault::BadChange;
        let may_probe = |node| !(cut && shape.region_of(node) == 0 || rejects && node == BAD_ROUTE);
        let probe = self.probes.next(shape, may_probe);
        let mut batch = vec![self.source.next_change()];
        batch.extend(probe.as_ref().map(|probe| probe.change.clone()));
        let sent_us = self.publish_counted(batch)?;
        if let Some(probe) = probe {
            self.probes.published(&probe, sent_us);
        }
        Ok(())
    }

    /// Publishes changes and retries until they are acknowledged. Records and returns the time at which they were sent.
    fn publish_counted(&mut self, batch: Vec<Resource>) -> Result<u64, ScaleError> {
        loop {
            let sent_us = monotonic_us();
            match self.control_plane.publish(batch.clone()) {
                Ok(position) => {
                    let spares_first_region = self.is_first_region_cut;
                    let revision = position.revision;
                    self.measured.changes.push(Change { sent_us, revision, spares_first_region });
                    return Ok(sent_us);
                }
                Err(ScaleError::Control(_)) if !self.steps.is_empty() => {
                    self.wait_for(self.began.elapsed())?;
                    std::thread::sleep(RETRY_PAUSE);
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn take(&mut self, step: FaultStep) -> Result<(), ScaleError> {
        eprintln!("{:.1} s: {step:?}", self.began.elapsed().as_secs_f64());
        match step {
            FaultStep::KillRelay => self.control_plane.relays[0][0].kill(),
            FaultStep::KillPublisher => self.control_plane.publisher.kill(),
            FaultStep::StartPublisher => self.restart_publisher()?,
            FaultStep::StopRegion => {
                self.is_first_region_cut = true;
                self.control_plane.relays[0].iter().for_each(|relay| relay.signal(Signal::STOP));
            }
            FaultStep::PublishBurst => self.publish_burst()?,
            FaultStep::ContinueRegion => {
                let revision = self.control_plane.status()?.position.revision;
                self.first_region_bytes_before = self.first_region_bytes();
                self.control_plane.relays[0].iter().for_each(|relay| relay.signal(Signal::CONT));
                self.measured.region_cut =
                    Some(RegionCut { continued_us: monotonic_us(), revision, bytes: 0 });
            }
            FaultStep::RestartCold => self.command_hollow(Command::RestartCold)?,
            FaultStep::ConnectSlowNodes => {
                let shape = &self.options.shape;
                self.slow_nodes = SlowSubscribers::connect(shape, shape.relay_address(self.network, 0, 0))?;
            }
            FaultStep::PublishBadChange => {
                self.control_plane.publish(vec![self.options.shape.route_to(BAD_ROUTE, UNKNOWN_METHOD)])?;
            }
            FaultStep::PublishGoodChange => {
                self.rejecting = rejecting(&self.control_plane.status()?);
                self.control_plane.publish(vec![self.options.shape.route_to(BAD_ROUTE, METHODS[1])])?;
            }
        }
        Ok(())
    }

    /// Restarts the publisher, and counts acknowledged changes that it has lost.
    fn restart_publisher(&mut self) -> Result<(), ScaleError> {
        self.control_plane.restart_publisher()?;
        let revision = self.control_plane.status()?.position.revision;
        let lost = self.measured.changes.iter().filter(|change| change.revision > revision).count();
        self.measured.lost += lost as u64;
        Ok(())
    }

    fn publish_burst(&mut self) -> Result<(), ScaleError> {
        for _ in 0..BURST_CHANGES / BURST_BATCH {
            let mut batch: Vec<Resource> = Vec::new();
            while batch.len() < BURST_BATCH {
                let change = self.source.next_change();
                // A batch contains each name at most once.
                batch.retain(|other| other.name != change.name);
                batch.push(change);
            }
            self.control_plane.publish(batch)?;
        }
        Ok(())
    }

    /// Waits until the last changes are in force.
    fn settle(&mut self) -> Result<(), ScaleError> {
        let Position { epoch, revision } = self.control_plane.status()?.position;
        (self.measured.head_epoch, self.measured.head_revision) = (epoch, revision);
        self.measured.seconds = self.began.elapsed().as_secs_f64();
        let hollow = &self.hollow;
        let is_at_head = |process: &HollowProcess| process.status().least_revision >= Some(revision);
        // Nodes that do not reach the head are counted as behind.
        let settled = wait_until("the head is in force", SETTLE_SECONDS, || hollow.iter().all(is_at_head));
        let control_plane = &self.control_plane;
        let is_counted =
            || control_plane.status().is_ok_and(|status| nodes_at_head(&status) == self.options.nodes);
        let counted = settled.and(wait_until("status counts all nodes", SETTLE_SECONDS, is_counted));
        if let Err(error) = counted {
            eprintln!("{error}");
        }
        Ok(())
    }

    fn report(&mut self) -> Result<(), ScaleError> {
        self.measured.probes = self.probes.finish();
        self.measured.calls = self.load.stop();
        self.measured.slow_nodes = self.slow_nodes.count();
        let status = self.control_plane.status()?;
        if !self.rejecting.is_empty() {
            self.measured.rejecting = Some((self.rejecting.len(), rejecting(&status).len()));
        }
        if let Some(mut cut) = self.measured.region_cut.take() {
            cut.bytes = self.first_region_bytes().saturating_sub(self.first_region_bytes_before);
            self.measured.region_cut = Some(cut);
        }
        self.measure_memory();
        self.command_hollow(Command::Report)?;
        let hollow = &self.hollow;
        let have_ended = || hollow.iter().all(HollowProcess::has_ended);
        wait_until("all hollow nodes have reported", REPORT_SECONDS, have_ended)?;
        self.measured.reports = self.hollow.iter().flat_map(HollowProcess::take_reports).collect();
        let at_head = self.measured.reports.len() as u64 - self.measured.behind();
        let real_at_head = nodes_at_head(&status).saturating_sub(at_head);
        self.measured.real_behind = self.options.real.saturating_sub(real_at_head);
        Ok(())
    }

    fn measure_memory(&mut self) {
        let largest_of = |processes: &[u32]| processes.iter().map(|id| memory_kb(*id)).max().unwrap_or(0);
        let real: Vec<u32> = self.real.nodes.iter().map(|node| node.id()).collect();
        let relays: Vec<u32> = self.control_plane.relays.iter().flatten().map(|relay| relay.id()).collect();
        let hollow: Vec<u32> = self.hollow.iter().map(|process| process.process.id()).collect();
        let single = [self.control_plane.publisher.id(), std::process::id()];
        self.measured.node.memory_kb = largest_of(&real);
        self.measured.relay.memory_kb = largest_of(&relays);
        self.measured.publisher.memory_kb = memory_kb(self.control_plane.publisher.id());
        let all = [&real[..], &relays, &hollow, &single].concat();
        self.measured.memory_kb = all.iter().map(|id| memory_kb(*id)).sum();
    }
}

/// Whether this number of relays has applied the published position.
fn are_relays_at_head(control_plane: &ControlPlane, relays: u64) -> bool {
    let Ok(status) = control_plane.status() else { return false };
    let of_relays = status.regions.iter().filter(|region| region.region.is_empty());
    let counts = of_relays.flat_map(|region| &region.in_force);
    let at_head = counts.filter(|count| count.position == status.position);
    at_head.map(|count| count.nodes).sum::<u64>() == relays
}

/// Returns the names of the nodes that reject a resource.
fn rejecting(status: &Status) -> BTreeSet<String> {
    let rejections = status.regions.iter().flat_map(|region| &region.rejections);
    rejections.map(|rejection| rejection.node.clone()).collect()
}

/// Measures the CPU use of processes since a start time.
struct CpuWatch {
    before: Vec<(u32, u64)>,
    since: Instant,
}

impl CpuWatch {
    fn start(processes: &[u32]) -> CpuWatch {
        let before = processes.iter().map(|id| (*id, cpu_us(*id))).collect();
        CpuWatch { before, since: Instant::now() }
    }

    /// Returns the share of a core that each process used. A process that has ended counts as zero.
    fn shares(&self) -> Vec<f64> {
        let elapsed_us = self.since.elapsed().as_micros() as f64;
        let share = |(id, before): &(u32, u64)| cpu_us(*id).saturating_sub(*before) as f64 / elapsed_us;
        self.before.iter().map(share).collect()
    }
}

fn largest(shares: &[f64]) -> f64 {
    shares.iter().copied().fold(0.0, f64::max)
}
