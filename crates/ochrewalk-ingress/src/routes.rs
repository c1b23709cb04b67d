//! Decides which method of the deployment a request is mapped to, by its HTTP method and path. A literal segment takes
//! precedence over `{}`, which matches any one segment, and `{}` over a trailing `*`, which matches any number of
//! segments; the result does not depend on the order in which routes were added.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The maximum number of segments of a path, so that matching a path never costs more than handling its request.
const MAX_SEGMENTS: usize = 32;

/// Routes as a tree of segments. A clone shares all nodes with its original, and a change copies only the nodes on its
/// path, so that the cost of replacing a large table depends only on the number of changed routes.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    root: Node,
}

#[derive(Clone, Debug, Default)]
struct Node {
    literal: BTreeMap<Arc<[u8]>, Arc<Node>>,
    /// The child that matches any one segment, `{}`.
    any_segment: Option<Arc<Node>>,
    /// The methods of patterns that end at this node.
    exact: MethodsByHttpMethod,
    /// The methods of patterns that continue with `*` at this node.
    wildcard: MethodsByHttpMethod,
}

/// Positions of methods by HTTP method, sorted by its name. Nearly all patterns have one or two HTTP methods, so a list
/// of exact capacity takes a tenth of the memory of a map. A node with tens of thousands of routes holds as many of
/// these lists.
#[derive(Clone, Debug, Default)]
struct MethodsByHttpMethod(Vec<(Cow<'static, str>, usize)>);

/// HTTP methods whose names are not allocated for each route.
const COMMON_HTTP_METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

impl MethodsByHttpMethod {
    fn position(&self, http_method: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|(name, _)| (**name).cmp(http_method))
    }

    /// Adds a method. Returns false if the HTTP method already has one.
    fn insert(&mut self, http_method: &str, method: usize) -> bool {
        let Err(position) = self.position(http_method) else { return false };
        let common = COMMON_HTTP_METHODS.iter().find(|common| **common == http_method);
        let name =
            common.map_or_else(|| Cow::Owned(http_method.to_string()), |common| Cow::Borrowed(*common));
        self.0.reserve_exact(1);
        self.0.insert(position, (name, method));
        true
    }

    fn remove(&mut self, http_method: &str) -> Option<usize> {
        let position = self.position(http_method).ok()?;
        Some(self.0.remove(position).1)
    }

    fn get(&self, http_method: &[u8]) -> Option<usize> {
        self.0.iter().find(|(name, _)| name.as_bytes() == http_method).map(|(_, method)| *method)
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The reason for which a path is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathError {
    NotAbsolute,
    /// A `.` or `..` segment, which other programs might resolve before or after this one.
    DotSegment,
    /// A percent sign that is not followed by two hex digits, or that encodes a slash, a backslash or a zero byte.
    InvalidEscape,
    TooManySegments,
}

/// The result of looking up a request's route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteMatch {
    /// The position of the method in the deployment's list of methods.
    Method(usize),
    /// The path has routes, but only for these HTTP methods.
    OtherMethods(Vec<String>),
    NoRoute,
}

impl Routes {
    /// Adds a route.
    ///
    /// # Errors
    /// Returns the reason if the pattern is invalid or already has a route for the HTTP method.
    pub fn add(&mut self, http_method: &str, pattern: &str, method: usize) -> Result<(), String> {
        let parsed = Pattern::parse(pattern)?;
        let mut node = &mut self.root;
        for segment in &parsed.segments {
            node = match &**segment {
                b"{}" => Arc::make_mut(node.any_segment.get_or_insert_default()),
                literal => Arc::make_mut(node.literal.entry(literal.into()).or_default()),
            };
        }
        let methods = if parsed.has_wildcard { &mut node.wildcard } else { &mut node.exact };
        if methods.insert(http_method, method) {
            Ok(())
        } else {
            Err(format!("{http_method} {pattern} is routed already"))
        }
    }

    /// Removes a route and returns its method; `None` if the route does not exist.
    ///
    /// ```
    /// use ochrewalk_ingress::routes::Routes;
    /// let mut routes = Routes::default();
    /// routes.add("GET", "/items/{}", 7).unwrap();
    /// assert_eq!(routes.remove("POST", "/items/{}"), None);
    /// assert_eq!(routes.remove("GET", "/items/{}"), Some(7));
    /// assert!(routes.is_empty());
    /// ```
    pub fn remove(&mut self, http_method: &str, pattern: &str) -> Option<usize> {
        let parsed = Pattern::parse(pattern).ok()?;
        self.root.remove(http_method, &parsed.segments, parsed.has_wildcard)
    }

    /// Checks a pattern.
    ///
    /// # Errors
    /// Returns the reason if the pattern is invalid.
    pub fn check_pattern(pattern: &str) -> Result<(), String> {
        Pattern::parse(pattern).map(|_| ())
    }

    pub fn is_empty(&self) -> bool {
        self.root.is_empty()
    }

    /// Returns the method to which a request is mapped. The query of the path after `?` is ignored, and so are the
    /// parameters of a segment after `;`.
    ///
    /// # Errors
    /// Returns an error if the path is invalid.
    ///
    /// ```
    /// use ochrewalk_ingress::routes::{RouteMatch, Routes};
    /// let mut routes = Routes::default();
    /// routes.add("GET", "/items/{}", 0).unwrap();
    /// routes.add("GET", "/items/all", 1).unwrap();
    /// assert_eq!(routes.find(b"GET", b"/items/7;s=1?x"), Ok(RouteMatch::Method(0)));
    /// assert_eq!(routes.find(b"GET", b"/items/all"), Ok(RouteMatch::Method(1)));
    /// assert_eq!(routes.find(b"PUT", b"/items/all"), Ok(RouteMatch::OtherMethods(vec!["GET".into()])));
    /// ```
    pub fn find(&self, http_method: &[u8], path: &[u8]) -> Result<RouteMatch, PathError> {
        let path = path.split(|b| *b == b'?').next().unwrap_or_default();
        let segments = segments(path)?;
        let mut other_methods = Vec::new();
        let found = self.root.find(http_method, &segments, &mut other_methods);
        other_methods.sort_unstable();
        other_methods.dedup();
        Ok(match found {
            Some(method) => RouteMatch::Method(method),
            None if other_methods.is_empty() => RouteMatch::NoRoute,
            None => RouteMatch::OtherMethods(other_methods),
        })
    }
}

/// A pattern of paths, split into segments.
struct Pattern {
    segments: Vec<Vec<u8>>,
    /// Whether the pattern ends in `*` and matches any number of further segments.
    has_wildcard: bool,
}

impl Pattern {
    fn parse(pattern: &str) -> Result<Pattern, String> {
        let mut segments = segments(pattern.as_bytes()).map_err(|why| why.message().to_string())?;
        let has_wildcard = segments.last().is_some_and(|last| last == b"*");
        if has_wildcard {
            segments.pop();
        }
        if segments.iter().any(|segment| segment.contains(&b'*')) {
            return Err("'*' may only be the last segment by itself".into());
        }
        let has_braces = |segment: &Vec<u8>| segment.contains(&b'{') || segment.contains(&b'}');
        if segments.iter().any(|segment| segment != b"{}" && has_braces(segment)) {
            return Err("a segment is '{}' as a whole or holds no braces".into());
        }
        Ok(Pattern { segments, has_wildcard })
    }
}

impl Node {
    /// Removes the method of the pattern `segments`, relative to this node, and the nodes that become empty.
    fn remove(&mut self, http_method: &str, segments: &[Vec<u8>], has_wildcard: bool) -> Option<usize> {
        let Some((first, rest)) = segments.split_first() else {
            return if has_wildcard {
                self.wildcard.remove(http_method)
            } else {
                self.exact.remove(http_method)
            };
        };
        let child = match &**first {
            b"{}" => self.any_segment.as_mut(),
            literal => self.literal.get_mut(literal),
        };
        let child = Arc::make_mut(child?);
        let removed = child.remove(http_method, rest, has_wildcard);
        if child.is_empty() {
            match &**first {
                b"{}" => self.any_segment = None,
                literal => drop(self.literal.remove(literal)),
            }
        }
        removed
    }

    fn is_empty(&self) -> bool {
        self.literal.is_empty()
            && self.any_segment.is_none()
            && self.exact.is_empty()
            && self.wildcard.is_empty()
    }

    fn find(
        &self,
        http_method: &[u8],
        segments: &[Vec<u8>],
        other_methods: &mut Vec<String>,
    ) -> Option<usize> {
        let method_of = |methods: &MethodsByHttpMethod, other_methods: &mut Vec<String>| {
            let found = methods.get(http_method);
            if found.is_none() {
                other_methods.extend(methods.0.iter().map(|(name, _)| name.to_string()));
            }
            found
        };
        let found = match segments.split_first() {
            None => method_of(&self.exact, other_methods),
            Some((first, rest)) => {
                let literal = self
                    .literal
                    .get(first.as_slice())
                    .and_then(|node| node.find(http_method, rest, other_methods));
                let any_segment =
                    || self.any_segment.as_ref().and_then(|node| node.find(http_method, rest, other_methods));
                literal.or_else(any_segment)
            }
        };
        found.or_else(|| method_of(&self.wildcard, other_methods))
    }
}

impl PathError {
    pub fn message(self) -> &'static str {
        match self {
            PathError::NotAbsolute => "a path begins with '/'",
            PathError::DotSegment => "a path has no '.' or '..' segments",
            PathError::InvalidEscape => "a path's '%' is followed by two hex digits that hide no slash",
            PathError::TooManySegments => "a path has too many segments",
        }
    }
}

fn segments(path: &[u8]) -> Result<Vec<Vec<u8>>, PathError> {
    let rest = path.strip_prefix(b"/").ok_or(PathError::NotAbsolute)?;
    let mut segments = Vec::new();
    // A trailing slash and repeated slashes are ignored.
    for raw in rest.split(|b| *b == b'/').filter(|s| !s.is_empty()) {
        let segment = unescaped(raw.split(|b| *b == b';').next().unwrap_or_default())?;
        // Other programs might resolve such a path to another one.
        if segment == b"." || segment == b".." {
            return Err(PathError::DotSegment);
        }
        segments.push(segment);
        if segments.len() > MAX_SEGMENTS {
            return Err(PathError::TooManySegments);
        }
    }
    Ok(segments)
}

fn unescaped(raw: &[u8]) -> Result<Vec<u8>, PathError> {
    let mut segment = Vec::with_capacity(raw.len());
    let mut bytes = raw.iter();
    while let Some(byte) = bytes.next() {
        if *byte != b'%' {
            segment.push(*byte);
            continue;
        }
        let digit =
            |b: Option<&u8>| b.and_then(|b| char::from(*b).to_digit(16)).ok_or(PathError::InvalidEscape);
        let byte = (digit(bytes.next())? * 16 + digit(bytes.next())?) as u8;
        if matches!(byte, b'/' | b'\\' | 0) {
            return Err(PathError::InvalidEscape);
        }
        segment.push(byte);
    }
    Ok(segment)
}
