//! Directives: each line's words into what they set, checked one by one and then together.

use crate::changes::Needs;
use crate::{units, words, AjpBelow, AjpFront, ConfigAgent, Operators, PlaceBelow};
use ipnet::IpNet;
use ochrewalk_ajp::packet::{LARGEST_PACKET, USUAL_PACKET};
use ochrewalk_ingress::allowed_peers::AllowedPeers;
use ochrewalk_ingress::judge::{Headers, Rules};
use ochrewalk_spread::{Kind, Plan, Reach, KINDS};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// What the node's own file says that this one has to fit.
pub struct Node<'a> {
    /// Methods by name, and whether each may happen twice.
    pub methods: &'a [(String, bool)],
    pub descriptors: usize,
    /// There is something below.
    pub calls: bool,
}

/// One fault in the file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    pub file: String,
    /// From 1 on; 0 where it is of the file as a whole.
    pub line: usize,
    pub wrong: String,
    /// What would be right.
    pub right: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}; {}", self.file, self.wrong, self.right),
            line => write!(f, "{}:{line}: {}; {}", self.file, self.wrong, self.right),
        }
    }
}

/// The system's bound on a socket's path, with room for a name beside it while it is made.
const LONGEST_SOCKET: usize = 90;

/// So many places at least a node calls that knows its number: losing half of them leaves some, and each is heard of
/// every few seconds at a call or two a second.
const USUAL_REACH: usize = 5;

/// A node that knows fewer relays is without any as soon as one fails.
const LEAST_RELAYS: usize = 2;
/// Less than this a second would not carry heartbeats and changes.
const LEAST_CONFIG_BUDGET: u64 = 1024;
/// Quotas that a node may hold at a time.
const MOST_CONFIG_TENANTS: usize = 1_000_000;

/// What is right where a route's pattern is not.
pub(crate) const RIGHT_PATTERN: &str = "write a path such as /items/{}/price or /stock/*";

/// What is wrong with one line, and what would be right.
pub(crate) type Wrong = (String, String);

pub(crate) fn wrong<T>(what: impl Into<String>, right: impl Into<String>) -> Result<T, Wrong> {
    Err((what.into(), right.into()))
}

/// A directive: its words, what they are, whether it may stand more than once, and what a change of it needs.
pub(crate) struct Directive {
    section: &'static str,
    name: &'static str,
    usage: &'static str,
    repeats: bool,
    pub(crate) needs: Needs,
}

impl Directive {
    const fn by(self, needs: Needs) -> Directive {
        Directive { needs, ..self }
    }
}

const fn once(section: &'static str, name: &'static str, usage: &'static str) -> Directive {
    Directive { section, name, usage, repeats: false, needs: Needs::HandOver }
}

const fn many(section: &'static str, name: &'static str, usage: &'static str) -> Directive {
    Directive { section, name, usage, repeats: true, needs: Needs::Reload }
}

/// The directive that a line's words begin with.
pub(crate) fn directive(words: &[String]) -> Option<&'static Directive> {
    let (section, name) = (words[0].as_str(), words.get(1).map_or("", |w| w.as_str()));
    DIRECTIVES.iter().find(|d| d.section == section && (d.name == name || section == "host"))
}

const DIRECTIVES: [Directive; 43] = [
    many("host", "", "host NAME ADDRESS"),
    once("ajp", "listen", "ajp listen ADDRESS:PORT").by(Needs::Start),
    many("ajp", "allow", "ajp allow NETWORK"),
    many("ajp", "deny", "ajp deny NETWORK"),
    once("ajp", "secret", "ajp secret WORD").by(Needs::Reload),
    once("ajp", "secret-file", "ajp secret-file PATH").by(Needs::Reload),
    once("ajp", "packet", "ajp packet SIZE"),
    once("ajp", "connections", "ajp connections NUMBER"),
    once("ajp", "idle", "ajp idle TIME"),
    once("ajp", "memory", "ajp memory KB").by(Needs::Reload),
    once("ajp", "health", "ajp health PATH").by(Needs::Reload),
    many("ajp", "header", "ajp header id|token|left|memory|tenant NAME"),
    many("ajp", "route", "ajp route HTTP-METHOD PATH METHOD"),
    many("below", "ajp", "below ajp ADDRESS:PORT"),
    once("below", "name", "below name SERVER-NAME"),
    once("below", "uri", "below uri PATH"),
    once("below", "secret", "below secret WORD"),
    once("below", "secret-file", "below secret-file PATH"),
    once("below", "packet", "below packet SIZE"),
    once("below", "connections", "below connections NUMBER"),
    once("below", "connect", "below connect TIME"),
    once("below", "pong", "below pong TIME"),
    once("below", "reply", "below reply TIME"),
    once("below", "trust", "below trust TIME"),
    once("below", "keep", "below keep TIME"),
    once("below", "leave-out", "below leave-out FAILURES"),
    once("below", "pause", "below pause TIME TIME"),
    once("below", "repeats", "below repeats SHARE"),
    many("below", "weight", "below weight ADDRESS:PORT NUMBER"),
    many("below", "zone", "below zone ADDRESS:PORT ZONE"),
    once("below", "here", "below here ZONE").by(Needs::Reload),
    once("below", "way", "below way WAY"),
    once("below", "reach", "below reach PLACES"),
    once("below", "number", "below number NUMBER COUNT"),
    once("below", "warm", "below warm TIME"),
    once("below", "status", "below status PATH"),
    once("upgrade", "control", "upgrade control PATH").by(Needs::Start),
    many("config", "relay", "config relay ADDRESS:PORT").by(Needs::HandOver),
    once("config", "region", "config region NAME"),
    many("config", "scope", "config scope SCOPE").by(Needs::HandOver),
    once("config", "snapshot", "config snapshot PATH"),
    once("config", "budget", "config budget BYTES"),
    once("config", "tenants", "config tenants NUMBER"),
];

/// Reads the file's text. `file` names it in faults.
pub fn read(text: &str, file: &str, node: &Node) -> Result<Operators, Vec<Fault>> {
    let mut reading = Reading::new(node);
    let mut faults = Vec::new();
    let mut fault = |line: usize, (wrong, right): Wrong| {
        faults.push(Fault { file: file.into(), line, wrong, right });
    };
    // Names first: a host may be named below its use.
    let mut lines = Vec::new();
    for (at, line) in text.lines().enumerate() {
        match words::split(line) {
            Ok(words) if words.is_empty() => {}
            Ok(words) => lines.push((at + 1, words)),
            Err(why) => fault(at + 1, (why.into(), "write \"a b\" for a word with a blank".into())),
        }
    }
    lines.sort_by_key(|(line, words)| (words[0] != "host", *line));
    for (line, words) in &lines {
        if let Err(why) = reading.line(*line, words) {
            fault(*line, why);
        }
    }
    match reading.whole() {
        Ok(operators) if faults.is_empty() => Ok(operators),
        Ok(_) => {
            faults.sort();
            Err(faults)
        }
        Err((line, why)) => {
            // What is missing may only be missing because its line is faulty.
            if faults.is_empty() {
                faults.push(Fault { file: file.into(), line, wrong: why.0, right: why.1 });
            }
            faults.sort();
            Err(faults)
        }
    }
}

struct Reading<'a> {
    node: &'a Node<'a>,
    hosts: BTreeMap<String, IpAddr>,
    /// The line at which each directive first stood.
    stood: BTreeMap<String, usize>,
    listen: Option<SocketAddr>,
    front: AjpFront,
    below: AjpBelow,
    upgrade_control: Option<PathBuf>,
    config: ConfigAgent,
    /// Positions of methods by name, once a route asks for one.
    known_methods: HashMap<&'a str, usize>,
    /// What is said of places, with the line, by address.
    weights: BTreeMap<SocketAddr, (usize, f64)>,
    zones: BTreeMap<SocketAddr, (usize, String)>,
    here: Option<String>,
    reach: Option<usize>,
    number: Option<(usize, usize)>,
}

impl<'a> Reading<'a> {
    fn new(node: &'a Node<'a>) -> Reading<'a> {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        Reading {
            node,
            hosts: BTreeMap::new(),
            stood: BTreeMap::new(),
            listen: None,
            upgrade_control: None,
            config: ConfigAgent::default(),
            known_methods: HashMap::new(),
            weights: BTreeMap::new(),
            zones: BTreeMap::new(),
            here: None,
            reach: None,
            number: None,
            front: AjpFront {
                listen: nowhere,
                allowed_peers: AllowedPeers::default(),
                rules: Rules { most_kb: 2_000.0, headers: Headers::default(), ..Rules::default() },
                secret_file: None,
                packet: USUAL_PACKET,
                connections: node.descriptors / 8,
                idle_us: 60_000_000,
            },
            below: AjpBelow {
                places: Vec::new(),
                here: None,
                spread: Plan::default(),
                status: None,
                server_name: "localhost".into(),
                uri: "/".into(),
                secret: None,
                secret_file: None,
                packet: USUAL_PACKET,
                connections: node.descriptors / 8,
                connect_us: 500_000,
                pong_us: 250_000,
                reply_us: 250_000,
                trust_us: 50_000,
                keep_us: 10_000_000,
                repeats: 0.1,
            },
        }
    }

    fn line(&mut self, line: usize, words: &[String]) -> Result<(), Wrong> {
        let section = &*words[0];
        let name = words.get(1).map_or("", |w| w.as_str());
        let Some(directive) = directive(words) else { return Err(unknown(section, name)) };
        let given = &words[if section == "host" { 1 } else { 2 }..];
        let takes = directive.usage.split(' ').count() - (words.len() - given.len());
        if given.len() != takes {
            let count = |n: usize| if n == 1 { "1 word".to_string() } else { format!("{n} words") };
            let wanted = format!("{} after {}", count(takes), words[..words.len() - given.len()].join(" "));
            return wrong(
                format!("{wanted} needed, {} found", given.len()),
                format!("write {}", directive.usage),
            );
        }
        let key = format!("{section} {name}");
        if !directive.repeats {
            if let Some(before) = self.stood.get(&key) {
                return wrong(format!("{key} was set on line {before} already"), "keep one of the two");
            }
        }
        self.stood.entry(key).or_insert(line);
        self.set(line, section, name, given)
    }

    fn set(&mut self, line: usize, section: &str, name: &str, given: &[String]) -> Result<(), Wrong> {
        let word = &given[0];
        let (front, below) = (&mut self.front, &mut self.below);
        match (section, name) {
            ("host", _) => {
                let address = given[1].parse().map_err(|_| {
                    (format!("{} is no IP address", given[1]), "write one such as 127.0.0.21".to_string())
                })?;
                if self.hosts.insert(word.clone(), address).is_some_and(|old| old != address) {
                    return wrong(format!("host {word} has two addresses"), "keep one of the two");
                }
            }
            ("ajp", "listen") => self.listen = Some(self.address(word)?),
            ("ajp", "allow") => allowed_peer(&mut front.allowed_peers, word, true)?,
            ("ajp", "deny") => allowed_peer(&mut front.allowed_peers, word, false)?,
            ("ajp", "secret") => front.rules.secret = Some(word.clone().into_bytes()),
            ("ajp", "secret-file") => front.secret_file = Some(PathBuf::from(word)),
            ("ajp", "packet") => front.packet = packet(word)?,
            ("ajp", "connections") => front.connections = whole(word, 4, self.node.descriptors / 4)?,
            ("ajp", "idle") => front.idle_us = time(word, 100_000, 3_600_000_000)?,
            ("ajp", "memory") => {
                let kb = word.parse::<f64>().ok().filter(|kb| *kb > 0.0 && *kb < front.rules.most_kb);
                front.rules.usual_kb = Some(kb.ok_or_else(|| {
                    let right =
                        format!("write a number above 0 and under {} without a unit", front.rules.most_kb);
                    (format!("{word} is no size in KB"), right)
                })?);
            }
            ("ajp", "health") => front.rules.health = Some(path(word)?),
            ("ajp", "header") => header(&mut front.rules.headers, word, &given[1])?,
            ("ajp", "route") => self.route(given)?,
            ("below", "ajp") => {
                let at = self.address(word)?;
                if self.below.places.iter().any(|place| place.at == at) {
                    return wrong(format!("{at} stands here already"), "name each place once");
                }
                self.below.places.push(PlaceBelow { at, weight: 1.0, is_near: true });
            }
            ("below", "name") => below.server_name = word.clone(),
            ("below", "uri") => below.uri = path(word)?,
            ("below", "secret") => below.secret = Some(word.clone().into_bytes()),
            ("below", "secret-file") => below.secret_file = Some(PathBuf::from(word)),
            ("below", "packet") => below.packet = packet(word)?,
            ("below", "connections") => below.connections = whole(word, 1, self.node.descriptors / 4)?,
            ("below", "connect") => below.connect_us = time(word, 1_000, 10_000_000)?,
            ("below", "pong") => below.pong_us = time(word, 1_000, 10_000_000)?,
            ("below", "reply") => below.reply_us = time(word, 1_000, 60_000_000)?,
            ("below", "trust") => below.trust_us = time(word, 0, 60_000_000)?,
            ("below", "keep") => below.keep_us = time(word, 1_000, 3_600_000_000)?,
            ("below", "leave-out") => below.spread.leaving.after = whole(word, 1, 1_000)? as u32,
            ("below", "pause") => {
                let leaving = &mut below.spread.leaving;
                leaving.first_us = time(word, 1_000, 60_000_000)?;
                leaving.most_us = time(&given[1], 1_000, 3_600_000_000)?;
                if leaving.most_us < leaving.first_us {
                    return wrong(
                        "the longest pause is shorter than the first",
                        "write the shorter one first",
                    );
                }
            }
            ("below", "repeats") => {
                let share = word.parse::<f64>().ok().filter(|share| (0.0..=1.0).contains(share));
                below.repeats = share.ok_or_else(|| {
                    (format!("{word} is no share"), "write one from 0 to 1, such as 0.1".to_string())
                })?;
            }
            ("below", "weight") => {
                let weight = weight(&given[1])?;
                let at = self.address(word)?;
                if let Some((before, _)) = self.weights.insert(at, (line, weight)) {
                    return wrong(format!("{at} has a weight on line {before}"), "keep one of the two");
                }
            }
            ("below", "zone") => {
                let at = self.address(word)?;
                if let Some((before, _)) = self.zones.insert(at, (line, given[1].clone())) {
                    return wrong(format!("{at} has a zone on line {before}"), "keep one of the two");
                }
            }
            ("below", "here") => self.here = Some(word.clone()),
            ("below", "way") => {
                below.spread.kind = Kind::named(word).ok_or_else(|| {
                    let known: Vec<&str> = KINDS.iter().map(|(name, _)| *name).collect();
                    (format!("{word} is no way"), format!("write one of {}", known.join(", ")))
                })?;
            }
            ("below", "reach") => self.reach = Some(whole(word, 2, 10_000)?),
            ("below", "number") => {
                let count = whole(&given[1], 1, 1_000_000)?;
                self.number = Some((whole(word, 0, count - 1)?, count));
            }
            ("below", "warm") => below.spread.leaving.warm_us = time(word, 0, 600_000_000)?,
            ("below", "status") => below.status = Some(socket(word)?),
            ("upgrade", "control") => self.upgrade_control = Some(socket(word)?),
            ("config", _) => self.config(name, word)?,
            _ => return Err(unknown(section, name)),
        }
        Ok(())
    }

    /// What is said of the control plane that the node hears from.
    fn config(&mut self, name: &str, word: &str) -> Result<(), Wrong> {
        match name {
            "relay" => {
                let at = self.address(word)?;
                if self.config.relays.contains(&at) {
                    return wrong(format!("{at} stands here already"), "name each relay once");
                }
                self.config.relays.push(at);
            }
            "scope" => {
                if self.config.scopes.iter().any(|scope| scope == word) {
                    return wrong(format!("scope {word} stands here already"), "name each scope once");
                }
                self.config.scopes.push(word.into());
            }
            "region" => self.config.region = word.into(),
            "snapshot" => self.config.snapshot = Some(absolute(word)?),
            "budget" => {
                let bytes = units::bytes(word).filter(|n| LEAST_CONFIG_BUDGET <= *n);
                self.config.bytes_per_second = bytes.ok_or_else(|| {
                    (
                        format!("{word} is no budget"),
                        "write bytes a second from 1k on, such as 26k".to_string(),
                    )
                })?;
            }
            "tenants" => self.config.max_tenants = whole(word, 1, MOST_CONFIG_TENANTS)?,
            _ => return Err(unknown("config", name)),
        }
        Ok(())
    }

    fn route(&mut self, given: &[String]) -> Result<(), Wrong> {
        let [http, path, method] = given else { unreachable!("three words were counted") };
        http_method(http)?;
        let names = || self.node.methods.iter().map(|(name, _)| name.as_str());
        let known = &mut self.known_methods;
        if known.is_empty() {
            known.extend(names().enumerate().map(|(at, name)| (name, at)));
        }
        let Some(at) = known.get(method.as_str()).copied() else {
            let right = match nearest(method, names()) {
                Some(near) => format!("did you mean {near}?"),
                None => format!("write one of {}", names().collect::<Vec<_>>().join(", ")),
            };
            return wrong(format!("{method} is no method here"), right);
        };
        route_may_repeat(http, method, self.node.methods[at].1)?;
        let added = self.front.rules.routes.add(http, path, at);
        added.map_err(|why| (why, RIGHT_PATTERN.to_string()))
    }

    /// An address and port; the address may be one of the hosts.
    fn address(&self, text: &str) -> Result<SocketAddr, Wrong> {
        if let Ok(at) = text.parse::<SocketAddr>() {
            return Ok(at);
        }
        let right = "write ADDRESS:PORT, with an IP address or the name of a host line";
        let Some((name, port)) = text.rsplit_once(':') else {
            return wrong(format!("{text} has no port"), right);
        };
        let Some(port) = port.parse::<u16>().ok().filter(|port| *port > 0) else {
            return wrong(format!("{port} is no port"), "write a port from 1 to 65535");
        };
        match self.hosts.get(name) {
            Some(address) => Ok(SocketAddr::new(*address, port)),
            None => wrong(
                format!("{name} is no address and no host"),
                format!("add a line such as: host {name} 127.0.0.21"),
            ),
        }
    }

    /// What is said of places goes to those that are named, and how many of them the node calls.
    fn places(&mut self) -> Result<(), (usize, Wrong)> {
        let named = |at: &SocketAddr| self.below.places.iter().any(|place| place.at == *at);
        let said = self.weights.iter().map(|(at, (line, _))| (at, line));
        let mut said = said.chain(self.zones.iter().map(|(at, (line, _))| (at, line)));
        if let Some((at, line)) = said.find(|(at, _)| !named(at)) {
            let what = (format!("no place below is at {at}"), format!("add a line: below ajp {at}"));
            return Err((*line, what));
        }
        if let (None, Some((line, _))) = (&self.here, self.zones.values().min()) {
            let what =
                ("zones are named, but not this node's".to_string(), "add a line: below here ZONE".into());
            return Err((*line, what));
        }
        for place in &mut self.below.places {
            place.weight = self.weights.get(&place.at).map_or(1.0, |(_, weight)| *weight);
            place.is_near = match (&self.here, self.zones.get(&place.at)) {
                (Some(here), Some((_, zone))) => here == zone,
                // Of a place without a zone nothing says that it is far.
                _ => true,
            };
        }
        self.below.spread.reach = match (self.number, self.reach) {
            (Some((number, of)), reach) => Reach::Arc { places: reach.unwrap_or(USUAL_REACH), number, of },
            (None, Some(places)) => Reach::Drawn { places },
            (None, None) => Reach::All,
        };
        Ok(())
    }

    /// Everything together. A fault is given with its line.
    fn whole(mut self) -> Result<Operators, (usize, Wrong)> {
        let line = |key: &str| self.stood.get(key).copied();
        let first =
            |section: &str| self.stood.iter().filter(|(k, _)| k.starts_with(section)).map(|(_, l)| *l).min();
        let fault = |line: usize, what: &str, right: &str| Err((line, (what.to_string(), right.to_string())));
        let rules = &self.front.rules;
        if let (Some(first), None) = (first("ajp "), self.listen) {
            return fault(first, "nothing listens for AJP", "add a line such as: ajp listen 127.0.0.1:8009");
        }
        if let Some(listen) = line("ajp listen") {
            if rules.routes.is_empty() && self.config.relays.is_empty() {
                return fault(
                    listen,
                    "no request can come in without a route",
                    "add a line such as: ajp route POST /sales METHOD",
                );
            }
            if self.front.allowed_peers.is_empty() {
                return fault(listen, "nobody may connect", "add a line such as: ajp allow 127.0.0.0/8");
            }
        }
        for section in ["ajp", "below"] {
            let (word, file) = (line(&format!("{section} secret")), line(&format!("{section} secret-file")));
            if let (Some(_), Some(at)) = (word, file) {
                return fault(at, "the secret is set twice", "keep the word or the file");
            }
        }
        if let (Some(first), true) = (first("below "), self.below.places.is_empty()) {
            return fault(
                first,
                "no place below is named",
                "add a line such as: below ajp ledger.example.org:8009",
            );
        }
        if let (Some(at), false) = (line("below ajp"), self.node.calls) {
            return fault(
                at,
                "the node's file says that nothing is called",
                "set \"below\" there or remove this line",
            );
        }
        if let Some(first) = first("config ") {
            if self.config.relays.len() < LEAST_RELAYS {
                let right = "name two relays or more: config relay ADDRESS:PORT";
                return fault(first, "one relay that fails would leave the node without any", right);
            }
            if self.config.region.is_empty() {
                return fault(first, "no region is named", "add a line: config region NAME");
            }
        }
        self.places()?;
        self.below.here = self.here;
        self.front.listen = self.listen.unwrap_or(self.front.listen);
        Ok(Operators {
            ajp: self.listen.is_some().then_some(self.front),
            below: (!self.below.places.is_empty()).then_some(self.below),
            upgrade_control: self.upgrade_control,
            config: (!self.config.relays.is_empty()).then_some(self.config),
        })
    }
}

/// Whether a word can be an HTTP method.
pub(crate) fn http_method(word: &str) -> Result<(), Wrong> {
    if word.is_empty() || !word.bytes().all(|b| b.is_ascii_uppercase() || b == b'-') {
        return wrong(format!("{word} is no HTTP method"), "write one in capitals, such as POST");
    }
    Ok(())
}

/// Guards against what stands between: it may send these again of its own accord.
pub(crate) fn route_may_repeat(http: &str, method: &str, is_idempotent: bool) -> Result<(), Wrong> {
    if !is_idempotent && ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"].contains(&http) {
        let what = format!("{method} may not happen twice, and {http} may be sent again by anybody between");
        return wrong(what, "route it for POST");
    }
    Ok(())
}

/// A weight of an endpoint.
pub(crate) fn weight(word: &str) -> Result<f64, Wrong> {
    let weight = word.parse::<f64>().ok().filter(|weight| (0.01..=1_000.0).contains(weight));
    weight.ok_or_else(|| (format!("{word} is no weight"), "write a number from 0.01 to 1000".to_string()))
}

pub(crate) fn absolute(word: &str) -> Result<PathBuf, Wrong> {
    if !word.starts_with('/') {
        return wrong(format!("{word} is no absolute path"), "write one that begins with '/'");
    }
    Ok(PathBuf::from(word))
}

fn unknown(section: &str, name: &str) -> Wrong {
    let of = |d: &&Directive| d.section == section && !d.name.is_empty();
    let known: Vec<&str> = DIRECTIVES.iter().filter(of).map(|d| d.name).collect();
    if known.is_empty() {
        let sections = ["host", "ajp", "below", "upgrade", "config"];
        let right = nearest(section, sections.into_iter())
            .map_or("a line begins with host, ajp, below, upgrade or config".into(), |near| {
                format!("did you mean {near}?")
            });
        return (format!("{section} is no directive"), right);
    }
    let right = match nearest(name, known.iter().copied()) {
        Some(near) => format!("did you mean {section} {near}?"),
        None => format!("after {section} comes one of {}", known.join(", ")),
    };
    (format!("{section} {name}").trim_end().to_string() + " is no directive", right)
}

fn nearest<'a>(word: &str, among: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let near = among.map(|known| (strsim::damerau_levenshtein(word, known), known)).min()?;
    (near.0 <= 2 && near.0 < near.1.len()).then_some(near.1)
}

fn allowed_peer(allowed_peers: &mut AllowedPeers, text: &str, let_in: bool) -> Result<(), Wrong> {
    let network = text.parse::<IpNet>().or_else(|_| text.parse::<IpAddr>().map(IpNet::from));
    let Ok(network) = network else {
        return wrong(format!("{text} is no network"), "write one such as 10.1.0.0/16 or fd00::/8");
    };
    match allowed_peers.state(network, let_in) {
        Some(before) if before != let_in => {
            wrong(format!("{text} is both let in and kept out"), "keep one of the two")
        }
        _ => Ok(()),
    }
}

fn header(headers: &mut Headers, which: &str, name: &str) -> Result<(), Wrong> {
    if !name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') || name.is_empty() {
        return wrong(format!("{name} is no name of a header"), "write letters, digits and '-'");
    }
    let slot = match which {
        "id" => &mut headers.id,
        "token" => &mut headers.token,
        "left" => &mut headers.left,
        "memory" => &mut headers.memory,
        "tenant" => headers.tenant.get_or_insert_default(),
        _ => return wrong(format!("no header for {which}"), "write id, token, left, memory or tenant"),
    };
    *slot = name.to_ascii_lowercase();
    Ok(())
}

fn path(text: &str) -> Result<String, Wrong> {
    if text.starts_with('/') && text.bytes().all(|b| b.is_ascii_graphic() && b != b'?') {
        return Ok(text.to_string());
    }
    wrong(format!("{text} is no path"), "write one that begins with '/' and has no '?'")
}

pub(crate) fn socket(text: &str) -> Result<PathBuf, Wrong> {
    if text.starts_with('/') && text.len() <= LONGEST_SOCKET {
        return Ok(PathBuf::from(text));
    }
    wrong(
        format!("{text} is no path for a socket"),
        format!("write an absolute one of {LONGEST_SOCKET} bytes at most"),
    )
}

fn packet(text: &str) -> Result<usize, Wrong> {
    let sizes = USUAL_PACKET as u64..=LARGEST_PACKET as u64;
    match units::bytes(text).filter(|n| sizes.contains(n)) {
        Some(bytes) => Ok(bytes as usize),
        None => wrong(format!("{text} is no packet size"), "write one from 8k to 64k"),
    }
}

pub(crate) fn whole(text: &str, least: usize, most: usize) -> Result<usize, Wrong> {
    match text.parse::<usize>().ok().filter(|n| (least..=most).contains(n)) {
        Some(number) => Ok(number),
        None => {
            wrong(format!("{text} is out of range"), format!("write a whole number from {least} to {most}"))
        }
    }
}

pub(crate) fn time(text: &str, least_us: u64, most_us: u64) -> Result<u64, Wrong> {
    let range = format!("from {} to {}", units::show_time(least_us), units::show_time(most_us));
    if text.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return wrong(format!("{text} has no unit"), format!("write {text}ms or {text}s, {range}"));
    }
    match units::time_us(text) {
        None => wrong(format!("{text} is no time"), "write a number and us, ms, s, m or h, such as 500ms"),
        Some(us) if !(least_us..=most_us).contains(&us) => {
            wrong(format!("{text} is out of range"), format!("write a time {range}"))
        }
        Some(us) => Ok(us),
    }
}
