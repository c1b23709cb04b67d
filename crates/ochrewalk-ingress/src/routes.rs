//! Decides which method of the deployment a request stands for, by its HTTP method and path. A literal segment wins
//! over `{}`, which is any one segment, and that over a trailing `*`, which is any number of them; so the outcome does
//! not hang on the order in which routes were named.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Segments of a path: guards against a path that costs more to look at than its request.
const MOST_SEGMENTS: usize = 32;

/// Routes as a tree of segments. A clone shares all nodes with its original; a change copies those on its path alone, so
/// that a table of many routes is replaced at the cost of what differs.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    root: Node,
}

#[derive(Clone, Debug, Default)]
struct Node {
    literal: BTreeMap<Arc<[u8]>, Arc<Node>>,
    any: Option<Arc<Node>>,
    /// What ends here, and what goes on here with anything.
    here: MethodsByHttp,
    rest: MethodsByHttp,
}

/// Positions of methods by HTTP method, in the order of its name. Nearly all patterns have one or two: a list of just that
/// length takes a tenth of a map's memory, of which a node with tens of thousands of routes would hold as many.
#[derive(Clone, Debug, Default)]
struct MethodsByHttp(Vec<(Cow<'static, str>, usize)>);

/// HTTP methods whose names are not stored with each route.
const USUAL_HTTP: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

impl MethodsByHttp {
    fn position(&self, http: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|(name, _)| (**name).cmp(http))
    }

    /// False where there is one already.
    fn insert(&mut self, http: &str, method: usize) -> bool {
        let Err(position) = self.position(http) else { return false };
        let usual = USUAL_HTTP.iter().find(|usual| **usual == http);
        let name = usual.map_or_else(|| Cow::Owned(http.to_string()), |usual| Cow::Borrowed(*usual));
        self.0.reserve_exact(1);
        self.0.insert(position, (name, method));
        true
    }

    fn remove(&mut self, http: &str) -> Option<usize> {
        let position = self.position(http).ok()?;
        Some(self.0.remove(position).1)
    }

    fn get(&self, http: &[u8]) -> Option<usize> {
        self.0.iter().find(|(name, _)| name.as_bytes() == http).map(|(_, method)| *method)
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Why a path is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPath {
    NotAbsolute,
    /// `.` or `..`, which others might resolve before or after us.
    Dots,
    /// A percent sign with no two hex digits, or one that hides a slash or a zero.
    Escape,
    TooLong,
}

/// What a request stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// Position in the deployment's list of methods.
    Method(usize),
    /// The path is known, but for these HTTP methods only.
    OtherMethods(Vec<String>),
    NoRoute,
}

impl Routes {
    /// Names a route. An error says what is wrong with the pattern, or that it stands already.
    pub fn add(&mut self, http: &str, pattern: &str, method: usize) -> Result<(), String> {
        let parsed = Pattern::parse(pattern)?;
        let mut node = &mut self.root;
        for segment in &parsed.segments {
            node = match &**segment {
                b"{}" => Arc::make_mut(node.any.get_or_insert_default()),
                literal => Arc::make_mut(node.literal.entry(literal.into()).or_default()),
            };
        }
        let methods = if parsed.is_open { &mut node.rest } else { &mut node.here };
        if methods.insert(http, method) {
            Ok(())
        } else {
            Err(format!("{http} {pattern} is routed already"))
        }
    }

    /// Takes a route out and gives the method that it stood for; none where there was no such route.
    ///
    /// ```
    /// use ochrewalk_ingress::routes::Routes;
    /// let mut routes = Routes::default();
    /// routes.add("GET", "/items/{}", 7).unwrap();
    /// assert_eq!(routes.remove("POST", "/items/{}"), None);
    /// assert_eq!(routes.remove("GET", "/items/{}"), Some(7));
    /// assert!(routes.is_empty());
    /// ```
    pub fn remove(&mut self, http: &str, pattern: &str) -> Option<usize> {
        let parsed = Pattern::parse(pattern).ok()?;
        self.root.remove(http, &parsed.segments, parsed.is_open)
    }

    /// Whether a pattern can be routed; an error says what is wrong with it.
    pub fn check_pattern(pattern: &str) -> Result<(), String> {
        Pattern::parse(pattern).map(|_| ())
    }

    pub fn is_empty(&self) -> bool {
        self.root.is_empty()
    }

    /// Finds what a request stands for. What follows `?` in a path is not part of it, nor what follows `;` in a
    /// segment.
    ///
    /// ```
    /// use ochrewalk_ingress::routes::{Found, Routes};
    /// let mut routes = Routes::default();
    /// routes.add("GET", "/items/{}", 0).unwrap();
    /// routes.add("GET", "/items/all", 1).unwrap();
    /// assert_eq!(routes.find(b"GET", b"/items/7;s=1?x"), Ok(Found::Method(0)));
    /// assert_eq!(routes.find(b"GET", b"/items/all"), Ok(Found::Method(1)));
    /// assert_eq!(routes.find(b"PUT", b"/items/all"), Ok(Found::OtherMethods(vec!["GET".into()])));
    /// ```
    pub fn find(&self, http: &[u8], path: &[u8]) -> Result<Found, NoPath> {
        let path = path.split(|b| *b == b'?').next().unwrap_or_default();
        let segments = segments(path)?;
        let mut others = Vec::new();
        let found = self.root.find(http, &segments, &mut others);
        others.sort_unstable();
        others.dedup();
        Ok(match found {
            Some(method) => Found::Method(method),
            None if others.is_empty() => Found::NoRoute,
            None => Found::OtherMethods(others),
        })
    }
}

/// A pattern of paths, in segments.
struct Pattern {
    segments: Vec<Vec<u8>>,
    /// It ended in `*`: any number of further segments may follow.
    is_open: bool,
}

impl Pattern {
    fn parse(pattern: &str) -> Result<Pattern, String> {
        let mut segments = segments(pattern.as_bytes()).map_err(|why| why.in_words().to_string())?;
        let is_open = segments.last().is_some_and(|last| last == b"*");
        if is_open {
            segments.pop();
        }
        if segments.iter().any(|s| s.contains(&b'*')) {
            return Err("'*' may only be the last segment by itself".into());
        }
        let has_braces = |s: &Vec<u8>| s.contains(&b'{') || s.contains(&b'}');
        if segments.iter().any(|s| s != b"{}" && has_braces(s)) {
            return Err("a segment is '{}' as a whole or holds no braces".into());
        }
        Ok(Pattern { segments, is_open })
    }
}

impl Node {
    /// Takes out what ends `segments` below here, and nodes that are left empty by it.
    fn remove(&mut self, http: &str, segments: &[Vec<u8>], is_open: bool) -> Option<usize> {
        let Some((first, rest)) = segments.split_first() else {
            return if is_open { self.rest.remove(http) } else { self.here.remove(http) };
        };
        let child = match &**first {
            b"{}" => self.any.as_mut(),
            literal => self.literal.get_mut(literal),
        };
        let child = Arc::make_mut(child?);
        let removed = child.remove(http, rest, is_open);
        if child.is_empty() {
            match &**first {
                b"{}" => self.any = None,
                literal => drop(self.literal.remove(literal)),
            }
        }
        removed
    }

    fn is_empty(&self) -> bool {
        self.literal.is_empty() && self.any.is_none() && self.here.is_empty() && self.rest.is_empty()
    }

    fn find(&self, http: &[u8], segments: &[Vec<u8>], others: &mut Vec<String>) -> Option<usize> {
        let of = |methods: &MethodsByHttp, others: &mut Vec<String>| {
            let found = methods.get(http);
            if found.is_none() {
                others.extend(methods.0.iter().map(|(name, _)| name.to_string()));
            }
            found
        };
        let found = match segments.split_first() {
            None => of(&self.here, others),
            Some((first, rest)) => {
                let literal =
                    self.literal.get(first.as_slice()).and_then(|node| node.find(http, rest, others));
                let any = || self.any.as_ref().and_then(|node| node.find(http, rest, others));
                literal.or_else(any)
            }
        };
        found.or_else(|| of(&self.rest, others))
    }
}

impl NoPath {
    pub fn in_words(self) -> &'static str {
        match self {
            NoPath::NotAbsolute => "a path begins with '/'",
            NoPath::Dots => "a path has no '.' or '..' segments",
            NoPath::Escape => "a path's '%' is followed by two hex digits that hide no slash",
            NoPath::TooLong => "a path has too many segments",
        }
    }
}

fn segments(path: &[u8]) -> Result<Vec<Vec<u8>>, NoPath> {
    let rest = path.strip_prefix(b"/").ok_or(NoPath::NotAbsolute)?;
    let mut segments = Vec::new();
    // A trailing slash and doubled ones are passed over.
    for raw in rest.split(|b| *b == b'/').filter(|s| !s.is_empty()) {
        let segment = unescaped(raw.split(|b| *b == b';').next().unwrap_or_default())?;
        // Guards against a path that others resolve to another one.
        if segment == b"." || segment == b".." {
            return Err(NoPath::Dots);
        }
        segments.push(segment);
        if segments.len() > MOST_SEGMENTS {
            return Err(NoPath::TooLong);
        }
    }
    Ok(segments)
}

fn unescaped(raw: &[u8]) -> Result<Vec<u8>, NoPath> {
    let mut segment = Vec::with_capacity(raw.len());
    let mut bytes = raw.iter();
    while let Some(byte) = bytes.next() {
        if *byte != b'%' {
            segment.push(*byte);
            continue;
        }
        let digit = |b: Option<&u8>| b.and_then(|b| char::from(*b).to_digit(16)).ok_or(NoPath::Escape);
        let byte = (digit(bytes.next())? * 16 + digit(bytes.next())?) as u8;
        if matches!(byte, b'/' | b'\\' | 0) {
            return Err(NoPath::Escape);
        }
        segment.push(byte);
    }
    Ok(segment)
}
