//! The course of a scale run: fill the publisher, start the fleet, change and break things, and compare at the end.

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
/// Seconds that all relays and nodes may take until they have everything.
const START_SECONDS: u64 = 90;
/// Seconds for the last change to be in force, and for reports.
const SETTLE_SECONDS: u64 = 10;
const REPORT_SECONDS: u64 = 30;
/// How long the CPU of nodes at rest is measured.
const RESTING: Duration = Duration::from_secs(3);
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The route of a bad change: it is of the first real node's scope.
const BAD_ROUTE: u64 = 0;

/// Files of a run, removed at its end.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct Fleet<'a> {
    options: &'a ScaleOptions,
    network: u8,
    plane: ControlPlane,
    real: RealNodes,
    hollow: Vec<HollowProcess>,
    source: ChangeSource,
    measured: Measurements,
    /// Steps of the fault that are still to be taken.
    steps: VecDeque<(Duration, FaultStep)>,
    began: Instant,
    is_first_region_cut: bool,
    first_region_bytes_before: u64,
    rejecting: BTreeSet<String>,
    slow_nodes: SlowSubscribers,
    probes: RouteProbes,
    load: RealLoad,
}

/// Runs it and prints the result, whose last line is JSON. Whether no rule broke.
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

/// All processes of a run, this one among them.
fn check_processes(options: &ScaleOptions) -> Result<usize, ScaleError> {
    let relays = usize::from(options.shape.regions) * usize::from(options.shape.relays);
    let processes = 2 + relays + options.real as usize + options.hollow_processes as usize;
    if processes > MAX_PROCESSES {
        return Err(ScaleError::TooManyProcesses { processes, most: MAX_PROCESSES });
    }
    Ok(processes)
}

fn fill(plane: &ControlPlane, options: &ScaleOptions) -> Result<(), ScaleError> {
    let mut resources = options.shape.initial_resources();
    loop {
        let batch: Vec<Resource> = resources.by_ref().take(MAX_BATCH_CHANGES).collect();
        if batch.is_empty() {
            return Ok(());
        }
        plane.publish(batch)?;
    }
}

fn all_ready(hollow: &[HollowProcess]) -> bool {
    hollow.iter().all(|process| process.status().ready == process.count)
}

/// Nodes of all regions that are at the published position.
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
        let mut plane = ControlPlane::start(program, folder, network)?;
        plane.start_relays(shape, network)?;
        let relays = u64::from(shape.regions) * u64::from(shape.relays);
        // Relays that are there take the fill as differences. Later they would fetch snapshots, which the publisher paces.
        wait_until("all relays are connected", START_SECONDS, || are_relays_at_head(&plane, relays))?;
        let filling = Instant::now();
        fill(&plane, options)?;
        wait_until("all relays have everything", START_SECONDS, || are_relays_at_head(&plane, relays))?;
        let fill_s = filling.elapsed().as_secs_f64();
        eprintln!("published and at all relays in {fill_s:.1} s");
        let starting = Instant::now();
        let hollow = start_hollow(options, network, &plane.control())?;
        wait_until("all hollow nodes are ready", START_SECONDS, || all_ready(&hollow))?;
        let real = RealNodes::start(program, shape, options.real, network, folder)?;
        wait_until("all nodes are at the head", START_SECONDS, || {
            plane.status().is_ok_and(|status| nodes_at_head(&status) == options.nodes)
        })?;
        let start_s = starting.elapsed().as_secs_f64();
        eprintln!("all nodes have everything after {start_s:.1} s");
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
            plane,
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

    fn tell_hollow(&mut self, command: Command) -> Result<(), ScaleError> {
        self.hollow.iter_mut().try_for_each(|process| process.tell(command))
    }

    fn first_region_bytes(&self) -> u64 {
        self.hollow.iter().map(|process| process.status().first_region_bytes).sum()
    }

    /// Changes at their rate, with the steps of the fault at their times, and the CPU that this takes.
    fn change(&mut self) -> Result<(), ScaleError> {
        let real: Vec<u32> = self.real.nodes.iter().map(|node| node.id()).collect();
        let resting = CpuWatch::start(&real);
        std::thread::sleep(RESTING);
        let resting_shares = resting.shares();
        self.tell_hollow(Command::Measure)?;
        self.began = Instant::now();
        let relays: Vec<u32> = self.plane.relays.iter().flatten().map(|relay| relay.id()).collect();
        let hollow: Vec<u32> = self.hollow.iter().map(|process| process.process.id()).collect();
        let (real, relays) = (CpuWatch::start(&real), CpuWatch::start(&relays));
        let (hollow, publisher) = (CpuWatch::start(&hollow), CpuWatch::start(&[self.plane.publisher.id()]));
        let count = (self.options.rate * self.options.seconds as f64).round() as u64;
        for number in 0..count {
            self.wait_for(Duration::from_secs_f64(number as f64 / self.options.rate))?;
            self.publish_next()?;
        }
        self.wait_for(Duration::from_secs(self.options.seconds))?;
        let beyond = real.shares().into_iter().zip(&resting_shares).map(|(busy, rest)| busy - rest);
        self.measured.node.cpu_share = beyond.fold(0.0, f64::max);
        self.measured.node_resting_share = largest(&resting_shares);
        self.measured.relay.cpu_share = largest(&relays.shares());
        self.measured.publisher.cpu_share = largest(&publisher.shares());
        let simulated = (self.options.nodes - self.options.real).max(1) as f64;
        self.measured.hollow_cpu_share = hollow.shares().iter().sum::<f64>() / simulated;
        Ok(())
    }

    /// Takes all steps that are due until `at`.
    fn wait_for(&mut self, at: Duration) -> Result<(), ScaleError> {
        while let Some((when, step)) = self.steps.pop_front_if(|(when, _)| *when <= at) {
            std::thread::sleep(when.saturating_sub(self.began.elapsed()));
            self.take(step)?;
        }
        std::thread::sleep(at.saturating_sub(self.began.elapsed()));
        Ok(())
    }

    /// Publishes the next change, and beside it one that is watched for at a real node that can hear of it.
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

    /// Publishes changes, as often as it takes, counts when they were sent, and says when.
    fn publish_counted(&mut self, batch: Vec<Resource>) -> Result<u64, ScaleError> {
        loop {
            let sent_us = monotonic_us();
            match self.plane.publish(batch.clone()) {
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
                Err(why) => return Err(why),
            }
        }
    }

    fn take(&mut self, step: FaultStep) -> Result<(), ScaleError> {
        eprintln!("{:.1} s: {step:?}", self.began.elapsed().as_secs_f64());
        match step {
            FaultStep::KillRelay => self.plane.relays[0][0].kill(),
            FaultStep::KillPublisher => self.plane.publisher.kill(),
            FaultStep::StartPublisher => self.restart_publisher()?,
            FaultStep::StopRegion => {
                self.is_first_region_cut = true;
                self.plane.relays[0].iter().for_each(|relay| relay.signal(Signal::STOP));
            }
            FaultStep::PublishBurst => self.publish_burst()?,
            FaultStep::ContinueRegion => {
                let revision = self.plane.status()?.position.revision;
                self.first_region_bytes_before = self.first_region_bytes();
                self.plane.relays[0].iter().for_each(|relay| relay.signal(Signal::CONT));
                self.measured.region_cut =
                    Some(RegionCut { continued_us: monotonic_us(), revision, bytes: 0 });
            }
            FaultStep::RestartCold => self.tell_hollow(Command::RestartCold)?,
            FaultStep::ConnectSlowNodes => {
                let shape = &self.options.shape;
                self.slow_nodes = SlowSubscribers::connect(shape, shape.relay_address(self.network, 0, 0))?;
            }
            FaultStep::PublishBadChange => {
                self.plane.publish(vec![self.options.shape.route_to(BAD_ROUTE, UNKNOWN_METHOD)])?;
            }
            FaultStep::PublishGoodChange => {
                self.rejecting = rejecting(&self.plane.status()?);
                self.plane.publish(vec![self.options.shape.route_to(BAD_ROUTE, METHODS[1])])?;
            }
        }
        Ok(())
    }

    /// What was acknowledged has to be there again.
    fn restart_publisher(&mut self) -> Result<(), ScaleError> {
        self.plane.restart_publisher()?;
        let revision = self.plane.status()?.position.revision;
        let lost = self.measured.changes.iter().filter(|change| change.revision > revision).count();
        self.measured.lost += lost as u64;
        Ok(())
    }

    fn publish_burst(&mut self) -> Result<(), ScaleError> {
        for _ in 0..BURST_CHANGES / BURST_BATCH {
            let mut batch: Vec<Resource> = Vec::new();
            while batch.len() < BURST_BATCH {
                let change = self.source.next_change();
                // A name stands in a batch once.
                batch.retain(|other| other.name != change.name);
                batch.push(change);
            }
            self.plane.publish(batch)?;
        }
        Ok(())
    }

    /// Gives the last changes time to be in force.
    fn settle(&mut self) -> Result<(), ScaleError> {
        let Position { epoch, revision } = self.plane.status()?.position;
        (self.measured.head_epoch, self.measured.head_revision) = (epoch, revision);
        self.measured.seconds = self.began.elapsed().as_secs_f64();
        let hollow = &self.hollow;
        let is_there = |process: &HollowProcess| process.status().least_revision >= Some(revision);
        // Nodes that never get there are counted as behind.
        let settled = wait_until("the head is in force", SETTLE_SECONDS, || hollow.iter().all(is_there));
        let plane = &self.plane;
        let is_counted = || plane.status().is_ok_and(|status| nodes_at_head(&status) == self.options.nodes);
        let counted = settled.and(wait_until("status counts all nodes", SETTLE_SECONDS, is_counted));
        if let Err(why) = counted {
            eprintln!("{why}");
        }
        Ok(())
    }

    fn report(&mut self) -> Result<(), ScaleError> {
        self.measured.probes = self.probes.finish();
        self.measured.calls = self.load.stop();
        self.measured.slow_nodes = self.slow_nodes.count();
        let status = self.plane.status()?;
        if !self.rejecting.is_empty() {
            self.measured.rejecting = Some((self.rejecting.len(), rejecting(&status).len()));
        }
        if let Some(mut cut) = self.measured.region_cut.take() {
            cut.bytes = self.first_region_bytes().saturating_sub(self.first_region_bytes_before);
            self.measured.region_cut = Some(cut);
        }
        self.measure_memory();
        self.tell_hollow(Command::Report)?;
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
        let relays: Vec<u32> = self.plane.relays.iter().flatten().map(|relay| relay.id()).collect();
        let hollow: Vec<u32> = self.hollow.iter().map(|process| process.process.id()).collect();
        let single = [self.plane.publisher.id(), std::process::id()];
        self.measured.node.memory_kb = largest_of(&real);
        self.measured.relay.memory_kb = largest_of(&relays);
        self.measured.publisher.memory_kb = memory_kb(self.plane.publisher.id());
        let all = [&real[..], &relays, &hollow, &single].concat();
        self.measured.memory_kb = all.iter().map(|id| memory_kb(*id)).sum();
    }
}

/// Whether as many relays as there are have all that is published.
fn are_relays_at_head(plane: &ControlPlane, relays: u64) -> bool {
    let Ok(status) = plane.status() else { return false };
    let of_relays = status.regions.iter().filter(|region| region.region.is_empty());
    let counts = of_relays.flat_map(|region| &region.in_force);
    let at_head = counts.filter(|count| count.position == status.position);
    at_head.map(|count| count.nodes).sum::<u64>() == relays
}

/// The names of nodes that reject something.
fn rejecting(status: &Status) -> BTreeSet<String> {
    let rejections = status.regions.iter().flat_map(|region| &region.rejections);
    rejections.map(|rejection| rejection.node.clone()).collect()
}

/// The CPU that processes use from a time on.
struct CpuWatch {
    before: Vec<(u32, u64)>,
    since: Instant,
}

impl CpuWatch {
    fn start(processes: &[u32]) -> CpuWatch {
        let before = processes.iter().map(|id| (*id, cpu_us(*id))).collect();
        CpuWatch { before, since: Instant::now() }
    }

    /// The share of a core that each used. One that has ended used nothing.
    fn shares(&self) -> Vec<f64> {
        let elapsed_us = self.since.elapsed().as_micros() as f64;
        let share = |(id, before): &(u32, u64)| cpu_us(*id).saturating_sub(*before) as f64 / elapsed_us;
        self.before.iter().map(share).collect()
    }
}

fn largest(shares: &[f64]) -> f64 {
    shares.iter().copied().fold(0.0, f64::max)
}
