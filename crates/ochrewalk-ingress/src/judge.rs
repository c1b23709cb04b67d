//! Decides what an AJP request asks for, from its head alone: a method of the deployment with what goes with it, word
//! on health, or a refusal in plain words. Nothing here is waited for, and nothing runs yet.

use crate::routes::{Found, Routes};
use ochrewalk_ajp::answerer::Refusal;
use ochrewalk_ajp::request::{BodyLength, Request, Which};
use subtle::ConstantTimeEq;

/// How requests are read, as the operators set it.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    pub routes: Routes,
    /// The path at which health is told.
    pub health: Option<String>,
    /// What each request has to bring, where set.
    pub secret: Option<Vec<u8>>,
    pub headers: Headers,
    /// The memory of a request that states none, in KB; without it each has to state its own.
    pub usual_kb: Option<f64>,
    /// A request states less than this, in KB.
    pub most_kb: f64,
}

/// Names of the headers by which requests state what goes with them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Headers {
    pub id: String,
    pub token: String,
    /// How long the caller still waits, in milliseconds.
    pub left: String,
    /// Memory in KB.
    pub memory: String,
    /// The tenant on whose behalf the request is; none where tenants are not told apart.
    pub tenant: Option<String>,
}

impl Default for Headers {
    fn default() -> Headers {
        Headers {
            id: "x-request-id".into(),
            token: "x-token".into(),
            left: "x-time-left-ms".into(),
            memory: "x-memory-kb".into(),
            tenant: None,
        }
    }
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Asks {
    Health,
    Method(Method),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Method {
    /// Position in the deployment's list.
    pub method: usize,
    /// Its id, 16 hex digits, where it states one.
    pub id: Option<String>,
    pub token: Option<String>,
    pub left_us: Option<u64>,
    pub kb: f64,
    pub tenant: Option<String>,
}

/// Why a request is turned down, and the HTTP methods that its path is known for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct No {
    pub refusal: Refusal,
    pub allow: Vec<String>,
    /// The connection is not to be trusted with another request.
    pub last: bool,
}

fn no<T>(status: u16, why: &'static str) -> Result<T, No> {
    Err(No { refusal: Refusal { status, why }, allow: Vec::new(), last: false })
}

/// A token's longest, and the longest that a caller is believed to wait.
const MOST_TOKEN: usize = 64;
const MOST_LEFT_MS: u64 = 3_600_000;
/// The longest name of a tenant.
pub const MOST_TENANT: usize = 128;

impl Rules {
    /// What the request asks for, and how its body comes.
    pub fn judge(&self, request: &Request) -> Result<(Asks, BodyLength), No> {
        if !self.knows(request.attribute(Which::Secret)) {
            return Err(No { last: true, ..no::<()>(403, "the secret is missing or wrong").unwrap_err() });
        }
        let Some(body) = request.body_length() else {
            return Err(No { last: true, ..no::<()>(400, "the body's length can't be right").unwrap_err() });
        };
        let path = request.uri.split(|b| *b == b'?').next().unwrap_or_default();
        if self.health.as_ref().is_some_and(|health| health.as_bytes() == path) {
            return match request.method {
                b"GET" | b"HEAD" => Ok((Asks::Health, body)),
                _ => Err(other_methods(vec!["GET".into(), "HEAD".into()])),
            };
        }
        let method = match self.routes.find(request.method, path) {
            Ok(Found::Method(method)) => method,
            Ok(Found::OtherMethods(allow)) => return Err(other_methods(allow)),
            Ok(Found::NoRoute) => return no(404, "no such route"),
            Err(why) => return no(400, why.in_words()),
        };
        let asked = Method {
            method,
            id: self.id(request)?,
            token: self.token(request)?,
            left_us: self.left_us(request)?,
            kb: self.kb(request)?,
            tenant: self.tenant(request)?,
        };
        Ok((Asks::Method(asked), body))
    }

    /// In a time that does not tell how much of it was right.
    fn knows(&self, given: Option<&[u8]>) -> bool {
        let Some(secret) = &self.secret else { return true };
        given.is_some_and(|given| bool::from(secret.as_slice().ct_eq(given)))
    }

    /// It goes on into other protocols, whose peers end a connection on what they cannot read.
    fn id(&self, request: &Request) -> Result<Option<String>, No> {
        let Some(id) = request.header(&self.headers.id) else { return Ok(None) };
        if id.len() != 16 || !id.iter().all(u8::is_ascii_hexdigit) {
            return no(400, "the id is not 16 hex digits");
        }
        Ok(Some(String::from_utf8_lossy(id).into_owned()))
    }

    fn token(&self, request: &Request) -> Result<Option<String>, No> {
        let Some(token) = request.header(&self.headers.token) else { return Ok(None) };
        if !(1..=MOST_TOKEN).contains(&token.len()) || !token.iter().all(u8::is_ascii_alphanumeric) {
            return no(400, "the token is no word of letters and digits");
        }
        Ok(Some(String::from_utf8_lossy(token).into_owned()))
    }

    fn tenant(&self, request: &Request) -> Result<Option<String>, No> {
        let Some(name) = self.headers.tenant.as_ref().and_then(|name| request.header(name)) else {
            return Ok(None);
        };
        if !(1..=MOST_TENANT).contains(&name.len()) || !name.iter().all(u8::is_ascii_graphic) {
            return no(400, "the tenant is no word of printable letters");
        }
        Ok(Some(String::from_utf8_lossy(name).into_owned()))
    }

    fn left_us(&self, request: &Request) -> Result<Option<u64>, No> {
        let Some(left) = request.header(&self.headers.left) else { return Ok(None) };
        match number::<u64>(left).filter(|ms| *ms <= MOST_LEFT_MS) {
            Some(ms) => Ok(Some(ms * 1_000)),
            None => no(400, "the time left is out of range"),
        }
    }

    fn kb(&self, request: &Request) -> Result<f64, No> {
        let kb = match request.header(&self.headers.memory) {
            Some(stated) => number::<f64>(stated),
            None => self.usual_kb,
        };
        match kb.filter(|kb| *kb > 0.0 && *kb < self.most_kb) {
            Some(kb) => Ok(kb),
            None => no(400, "the memory is missing or out of range"),
        }
    }
}

fn number<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
    std::str::from_utf8(text).ok()?.parse().ok()
}

fn other_methods(allow: Vec<String>) -> No {
    let refusal = Refusal { status: 405, why: "this path is there for other methods only" };
    No { refusal, allow, last: false }
}
