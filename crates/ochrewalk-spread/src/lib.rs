//! Decides which of many places a call goes to, in each of hundreds of processes that see little of the load and tell one
//! another nothing: no place gets a herd, none stands idle, and one that fails costs little and comes back gently.
//!
//! No sockets and no clock. Whoever carries the calls says what each came to; [`Spread`] says where the next one goes.
//!
//! ```
//! use ochrewalk_spread::{Listed, Plan, Spread};
//! let mut spread = Spread::new(Plan::default(), 7);
//! spread.list(0, &[Listed::plain(11), Listed::plain(22), Listed::plain(33)]);
//! let mut round: Vec<usize> = (0..3).map(|_| spread.pick(0, true, None).unwrap()).collect();
//! round.sort();
//! assert_eq!(round, [0, 1, 2], "each once, in an order drawn from the seed");
//! ```

mod layout;
mod member;
mod probe;
mod spill;
mod times;
mod view;
mod ways;
mod width;
mod worth;

pub use layout::{lay, Laid, Reach, Spot};
pub use member::{Cause, Leaving, Member};
pub use spill::Spill;
pub use times::Times;
pub use view::{Held, View};
pub use ways::{Kind, Way, KINDS};
pub use width::Width;
pub use worth::{All, Worth};

use probe::{ProbeProgress, TakingWeight};
use std::collections::BTreeSet;

/// One place of a list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listed {
    /// A print of its name, the same in every process.
    pub key: u64,
    /// What it can do, over the others; above 0.
    pub weight: f64,
    /// In the zone of this process, or zones are not told apart.
    pub is_near: bool,
}

impl Listed {
    pub fn plain(key: u64) -> Listed {
        Listed { key, weight: 1.0, is_near: true }
    }
}

/// How calls are spread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    pub kind: Kind,
    pub reach: Reach,
    /// Shares go by what was learned of places.
    pub by_worth: bool,
    pub leaving: Leaving,
}

impl Default for Plan {
    fn default() -> Plan {
        let leaving = Leaving { after: 3, first_us: 200_000, most_us: 3_000_000, warm_us: 3_000_000 };
        Plan { kind: Kind::Rounds, reach: Reach::All, by_worth: true, leaving }
    }
}

/// What a call came to, as far as it tells of its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    Served,
    /// It was turned away there: the place does its work, and has no room.
    Refused,
    /// It was answered, and did not do its work.
    Failed,
    /// It was not done in time.
    Late,
    /// A connection broke under it.
    Broken,
    /// No connection could be made.
    Unreached,
    /// Nothing that tells of the place.
    Nothing,
}

/// A trial of a place that is out may be one in so many calls: guards against all of a quiet node's calls being trials
/// where many places are out.
const CALLS_A_TRIAL: f64 = 5.0;
/// While at least this share of all calls is served, one that fails tells of its place.
const FARES_WELL: f64 = 0.8;
/// How far one answer moves the mean time of its place.
const MEAN_PACE: f64 = 1.0 / 8.0;

pub struct Spread {
    plan: Plan,
    view: View,
    way: Box<dyn Way + Send>,
    laid: Vec<Laid>,
    /// Places that are out, by when each may be tried.
    due: BTreeSet<(u64, usize)>,
    trials: f64,
    taking_weight: TakingWeight,
    /// When the last call was placed.
    picked_us: u64,
    spill: Spill,
    width: Width,
    rng: fastrand::Rng,
    seed: u64,
}

impl Spread {
    pub fn new(plan: Plan, seed: u64) -> Spread {
        Spread {
            plan,
            view: View { by_worth: plan.by_worth, ..View::default() },
            way: plan.kind.way(),
            laid: Vec::new(),
            due: BTreeSet::new(),
            trials: 1.0,
            taking_weight: TakingWeight::default(),
            picked_us: 0,
            spill: Spill::default(),
            width: Width::default(),
            rng: fastrand::Rng::with_seed(seed),
            seed,
        }
    }

    /// The places there are now, each once. Gives the slot that each is known by from here on; a slot stays with its
    /// place until that has left and nothing is under way there.
    pub fn list(&mut self, now_us: u64, listed: &[Listed]) -> Vec<usize> {
        let is_first = self.view.of.iter().flatten().next().is_none();
        let heaviest = listed.iter().map(|place| place.weight).fold(f64::MIN_POSITIVE, f64::max);
        let keys: BTreeSet<u64> = listed.iter().map(|place| place.key).collect();
        for held in self.view.of.iter_mut().flatten().filter(|held| !keys.contains(&held.key)) {
            held.member.leave(now_us);
        }
        let mut slots = Vec::with_capacity(listed.len());
        for place in listed {
            let known = |held: &Option<Held>| held.as_ref().is_some_and(|held| held.key == place.key);
            let slot = self.view.of.iter().position(known).unwrap_or_else(|| {
                let (first, joining) = (Member::first, Member::joining);
                let member = if is_first { first } else { joining }(self.plan.leaving, now_us);
                let new = Some(Held::new(place.key, member));
                match self.view.of.iter().position(Option::is_none) {
                    Some(free) => {
                        self.view.of[free] = new;
                        free
                    }
                    None => {
                        self.view.of.push(new);
                        self.view.of.len() - 1
                    }
                }
            });
            let held = self.view.of[slot].as_mut().expect("just seen");
            held.member.come_again(now_us);
            (held.weight, held.is_near) = (place.weight / heaviest, place.is_near);
            slots.push(slot);
        }
        let zone = |near: bool| {
            let of = listed.iter().zip(&slots).filter(|(place, _)| place.is_near == near);
            let spot =
                |(place, slot): (&Listed, &usize)| Spot { key: place.key, weight: place.weight, slot: *slot };
            let places: Vec<Spot> = of.map(spot).collect();
            lay(self.plan.reach, &places, self.seed)
        };
        self.laid = vec![zone(true), zone(false)];
        self.view.of.iter_mut().flatten().for_each(|held| held.part = 0.0);
        for (slot, part) in self.laid.iter().flat_map(|laid| &laid.reach) {
            self.view.of[*slot].as_mut().expect("laid").part = *part;
        }
        self.due.retain(|(_, slot)| self.view.of[*slot].as_ref().is_some_and(|h| !h.member.is_leaving()));
        self.sweep();
        self.relay();
        slots
    }

    /// The endpoint for a call. `harmless`: it may happen again, and so may be the probe of an endpoint that is out, once
    /// that is earned. None where all are out: [`Spread::come_back_us`] says when one is probed.
    pub fn pick(&mut self, now_us: u64, harmless: bool, avoid: Option<usize>) -> Option<usize> {
        self.trials = (self.trials + 1.0 / CALLS_A_TRIAL).min(1.0);
        self.earn_probes(now_us);
        if harmless && self.trials >= 1.0 {
            if let Some(slot) = self.earned_probe(now_us, avoid) {
                self.trials = 0.0;
                self.view.of[slot].as_mut().expect("out").probe.spend();
                return Some(slot);
            }
        }
        let due = self.due_slots(now_us).find(|slot| Some(*slot) != avoid);
        self.way.choose(&self.view, now_us, avoid, &mut self.rng).or(due)
    }

    /// Endpoints whose pause is over, the one whose pause ended first before the others.
    fn due_slots(&self, now_us: u64) -> impl Iterator<Item = usize> + '_ {
        self.due.iter().take_while(move |(until_us, _)| now_us >= *until_us).map(|(_, slot)| *slot)
    }

    /// One more call is placed: each endpoint that is out earns its part of a probe.
    fn earn_probes(&mut self, now_us: u64) {
        let last_call_us = std::mem::replace(&mut self.picked_us, now_us);
        let since_last_call_us = now_us.saturating_sub(last_call_us);
        for (until_us, slot) in &self.due {
            let held = self.view.of[*slot].as_mut().expect("out");
            let load_share = self.taking_weight.load_share(held.weight * held.part, self.view.spill);
            if now_us < *until_us {
                held.probe.earn_in_pause(load_share, since_last_call_us);
            } else {
                held.probe.wait(now_us.saturating_sub(last_call_us.max(*until_us)));
                held.probe.earn(load_share, since_last_call_us);
            }
        }
    }

    fn earned_probe(&self, now_us: u64, avoid: Option<usize>) -> Option<usize> {
        let may_probe = |slot: &usize| Some(*slot) != avoid && self.view.at(*slot).probe.is_earned();
        self.due_slots(now_us).find(may_probe)
    }

    /// How long no place is expected to take a call, from the moment on at which none does: until the first of them is
    /// tried, and up to half as long again. Guards against all callers coming back at that very moment.
    pub fn closed_us(&mut self, now_us: u64) -> Option<u64> {
        if self.view.reach.iter().any(|slot| self.view.takes(*slot)) {
            return None;
        }
        let first_us = self.due.first()?.0.saturating_sub(now_us).max(self.plan.leaving.first_us);
        Some(first_us + self.rng.u64(0..=first_us / 2))
    }

    /// When a place that is out is next tried.
    pub fn come_back_us(&self) -> Option<u64> {
        self.due.first().map(|(until_us, _)| *until_us)
    }

    /// A call goes to that place.
    pub fn given(&mut self, now_us: u64, slot: usize, call: u64) {
        let Some(held) = self.view.of[slot].as_mut() else { return };
        held.open.insert(call, now_us);
        held.given += 1;
        self.width.given(now_us);
        if self.width.look(now_us, self.laid.iter().map(|laid| laid.reach.len()).max().unwrap_or(0)) {
            self.relay();
        }
        self.member(slot, |member, _| member.given(call, now_us));
    }

    /// What became of it there.
    pub fn ended(&mut self, now_us: u64, slot: usize, call: u64, news: News) {
        let Some(held) = self.view.of[slot].as_mut() else { return };
        let Some(given_us) = held.open.remove(&call) else { return };
        self.width.ended(now_us);
        let took_us = now_us.saturating_sub(given_us);
        let (fares_well, is_near) = (self.view.all.served >= FARES_WELL, held.is_near);
        match news {
            News::Served => {
                self.view.times.add(took_us);
                self.view.all.count(true);
                self.view.all.took(took_us, self.view.times.usual_us());
                held.worth.served(now_us, took_us, self.view.times.usual_us());
                held.mean_us += (took_us as f64 - held.mean_us) * MEAN_PACE;
                (held.last_us, held.last_at_us) = (took_us, now_us);
            }
            // Whoever has no room gets less, but where all have none.
            News::Refused | News::Failed | News::Broken => {
                self.view.all.count(false);
                held.worth.failed(now_us);
            }
            News::Late => {
                self.view.all.count(false);
                held.worth.late(now_us);
                (held.last_us, held.last_at_us) = (took_us, now_us);
            }
            News::Unreached | News::Nothing => {}
        }
        if is_near && news != News::Nothing {
            self.spill.near(now_us, news == News::Served);
            self.view.spill = self.spill.share();
        }
        self.member(slot, |member, rng| {
            member.trial_is_over(call, now_us);
            match news {
                News::Served | News::Refused => member.did_well(now_us),
                // Where many fail everywhere, no place is to blame.
                News::Failed if !fares_well => member.did_well(now_us),
                News::Failed | News::Late | News::Broken => member.failed(now_us, Cause::Failing, rng),
                News::Unreached => member.failed(now_us, Cause::Unreached, rng),
                News::Nothing => {}
            }
        });
        // Only this one can have become gone: all are looked at with a new list alone.
        free(&mut self.view.of[slot]);
    }

    /// A place failed outside of any call, such as on a ping.
    pub fn failed(&mut self, now_us: u64, slot: usize, cause: Cause) {
        self.member(slot, |member, rng| member.failed(now_us, cause, rng));
    }

    /// Whether the place of that slot is on the list.
    pub fn is_listed(&self, slot: usize) -> bool {
        self.view.of.get(slot).and_then(Option::as_ref).is_some_and(|held| !held.member.is_leaving())
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    /// A place's state in a word, for operators.
    pub fn word(&self, slot: usize, now_us: u64) -> &'static str {
        let Some(held) = self.view.of.get(slot).and_then(Option::as_ref) else { return "gone" };
        match held.member.word(now_us) {
            "in" if self.view.is_suspect(slot, now_us) => "suspect",
            word => word,
        }
    }

    /// Lets what happened change a place's membership, and follows where it was left out or taken in.
    fn member(&mut self, slot: usize, what: impl FnOnce(&mut Member, &mut fastrand::Rng)) {
        let Some(held) = self.view.of[slot].as_mut() else { return };
        let before = held.member;
        what(&mut held.member, &mut self.rng);
        let after = held.member;
        if before.out_until_us() != after.out_until_us() {
            if let Some(until_us) = before.out_until_us() {
                self.due.remove(&(until_us, slot));
            }
            if let Some(until_us) = after.out_until_us() {
                self.due.insert((until_us, slot));
                held.probe.begin_pause();
            }
        }
        if before.takes() && !after.takes() {
            held.probe = ProbeProgress::drawn(&mut self.rng);
        }
        if !before.takes() && after.takes() {
            held.member.begin_ramp_earlier(held.probe.back_before_us());
        }
        if before.takes() != after.takes() {
            // What was learned before it was out is no news of it now; it is warmed all the same.
            held.worth = Worth::default();
            self.relay();
        }
    }

    /// The reach: its own places, and for each that is out one that stands in.
    fn relay(&mut self) {
        let mut reach = Vec::new();
        for laid in &self.laid {
            let own = || laid.reach.iter().map(|(slot, _)| *slot);
            let takes = |slot: &usize| self.view.at(*slot).member.takes();
            let missing = own().filter(|slot| !takes(slot)).count();
            let wider = laid.reach.len() * (self.width.times() - 1);
            reach.extend(own());
            reach.extend(laid.spare.iter().copied().filter(takes).take(missing + wider));
        }
        for slot in &reach {
            let held = self.view.of[*slot].as_mut().expect("laid");
            if held.part == 0.0 {
                held.part = 1.0;
            }
        }
        // Rather than that most places have failed at once, it is we who cannot see them. What could not be reached is
        // out by proof, and stays so.
        let takes = reach.iter().filter(|slot| self.view.at(**slot).member.takes()).count();
        self.view.is_doubted = takes * 2 < reach.len();
        self.taking_weight = TakingWeight::default();
        for slot in reach.iter().filter(|slot| self.view.takes(**slot)) {
            let held = self.view.at(*slot);
            self.taking_weight.add(held.weight * held.part, held.is_near);
        }
        if reach != self.view.reach {
            self.view.reach = reach;
            self.way.relaid();
        }
    }

    /// Places that left and have nothing under way are gone.
    fn sweep(&mut self) {
        self.view.of.iter_mut().for_each(free);
    }
}

fn free(held: &mut Option<Held>) {
    if held.as_ref().is_some_and(|held| held.member.is_leaving() && held.open.is_empty()) {
        *held = None;
    }
}
