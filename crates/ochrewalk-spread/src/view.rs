//! Decides what a node holds of each place: whether it takes calls now, its share of an even load, and how much trouble
//! a call there would meet by the freshest news.

use crate::member::{Cause, Member};
use crate::probe::ProbeProgress;
use crate::times::Times;
use crate::worth::{All, Worth};
use std::collections::BTreeMap;

/// A call unanswered for so many times what one in twenty exceeds makes its place suspect.
const SUSPECT_TIMES: f64 = 3.0;
/// Bounds of that, in microseconds: guards against a clock that woke late, and against a place that stands for long.
const SUSPECT_LEAST_US: f64 = 30_000.0;
const SUSPECT_MOST_US: f64 = 2_000_000.0;
/// What is known while too few answers came.
const SUSPECT_UNKNOWN_US: f64 = 1_000_000.0;
/// A long answer tells of a queue that stands for about as long again: news of it is worth half after this many times
/// what it took. The guard against reacting to news that is no longer true.
const NEWS_HALF_LIFE: f64 = 0.5;

/// A place as the node holds it.
#[derive(Clone, Debug)]
pub struct Held {
    pub key: u64,
    pub member: Member,
    /// By the operators, over the heaviest of the list.
    pub weight: f64,
    pub is_near: bool,
    /// The part of it that is in the node's reach.
    pub part: f64,
    pub worth: Worth,
    /// While it is out: how much of its next probe is earned.
    pub probe: ProbeProgress,
    /// Calls given to it that have not ended, and when each was given.
    pub open: BTreeMap<u64, u64>,
    /// How long its last answer took, and when it came.
    pub last_us: u64,
    pub last_at_us: u64,
    /// The mean of answers' times, for the way that goes by it.
    pub mean_us: f64,
    /// Calls given since the start, for operators.
    pub given: u64,
}

impl Held {
    pub fn new(key: u64, member: Member) -> Held {
        Held {
            key,
            member,
            weight: 1.0,
            is_near: true,
            part: 0.0,
            worth: Worth::default(),
            probe: ProbeProgress::default(),
            open: BTreeMap::new(),
            last_us: 0,
            last_at_us: 0,
            mean_us: 1_000.0,
            given: 0,
        }
    }

    pub fn in_hand(&self) -> usize {
        self.open.len()
    }

    /// How long its oldest call has had no answer.
    pub fn silent_us(&self, now_us: u64) -> u64 {
        self.open.first_key_value().map_or(0, |(_, given_us)| now_us.saturating_sub(*given_us))
    }
}

/// All that ways go by.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// By slot; none where nothing stands there.
    pub of: Vec<Option<Held>>,
    /// Slots that calls go to, by layout and what is out of it.
    pub reach: Vec<usize>,
    pub times: Times,
    pub all: All,
    /// What a far place gets of a near one's share.
    pub spill: f64,
    /// Most of the reach seems out: what is only suspected or failing is asked as well.
    pub is_doubted: bool,
    /// Shares go by what was learned of places.
    pub by_worth: bool,
}

impl View {
    pub fn at(&self, slot: usize) -> &Held {
        self.of[slot].as_ref().expect("a slot of the reach")
    }

    /// Unanswered for longer than this, a call makes its place suspect.
    pub fn suspect_us(&self) -> f64 {
        let long_us = self.times.long_us();
        if long_us == f64::MAX {
            return SUSPECT_UNKNOWN_US;
        }
        (long_us * SUSPECT_TIMES).clamp(SUSPECT_LEAST_US, SUSPECT_MOST_US)
    }

    /// The call that is still open there is its trial: no more follow while others take them.
    pub fn is_suspect(&self, slot: usize, now_us: u64) -> bool {
        self.at(slot).silent_us(now_us) as f64 > self.suspect_us()
    }

    /// Whether a call may go there at all.
    pub fn takes(&self, slot: usize) -> bool {
        let member = &self.at(slot).member;
        member.takes() || self.is_doubted && member.cause() == Some(Cause::Failing)
    }

    /// Its share of what a place wholly in reach, near, warm and well would get.
    pub fn share(&self, slot: usize, now_us: u64) -> f64 {
        let held = self.at(slot);
        let near = if held.is_near { 1.0 } else { self.spill };
        let worth = if self.by_worth { held.worth.share(now_us, &self.all) } else { 1.0 };
        held.weight * held.part * near * worth * held.member.warmth(now_us)
    }

    /// The trouble that a call would meet, in microseconds: what is unanswered there, and the last answer while it is
    /// still news.
    pub fn trouble_us(&self, slot: usize, now_us: u64) -> f64 {
        let held = self.at(slot);
        let age_us = now_us.saturating_sub(held.last_at_us) as f64;
        let last_us = held.last_us as f64;
        let news_us = last_us * 0.5f64.powf(age_us / (NEWS_HALF_LIFE * last_us.max(1.0)));
        let silent_us = held.silent_us(now_us) as f64;
        news_us.max(silent_us) + held.in_hand() as f64 * self.times.usual_us()
    }
}
