//! Decides the target of an AJP request from its head alone: a method of the deployment with its parameters, the health
//! check, or a refusal with a reason. Evaluation neither blocks nor starts the method.

use crate::routes::{RouteMatch, Routes};
use ochrewalk_ajp::request::{BodyLength, Request, StringAttribute};
use ochrewalk_ajp::servlet_container::Refusal;
use subtle::ConstantTimeEq;

/// The operators' rules for requests.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    pub routes: Routes,
    /// The path of the health check.
    pub health: Option<String>,
    /// The secret that each request has to carry, if one is set.
    pub secret: Option<Vec<u8>>,
    pub headers: HeaderNames,
    /// The memory of a request that states none, in KB; if it is `None`, each request has to state its memory.
    pub default_memory_kb: Option<f64>,
    /// The exclusive upper bound on the memory that a request may state, in KB.
    pub memory_limit_kb: f64,
}

/// The names of the headers that carry the parameters of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    pub id: String,
    pub token: String,
    /// The time for which the caller still waits, in milliseconds.
    pub time_left: String,
    /// The memory that the request needs, in KB.
    pub memory: String,
    /// The tenant of the request; `None` if requests are not distinguished by tenant.
    pub tenant: Option<String>,
}

impl Default for HeaderNames {
    fn default() -> HeaderNames {
        HeaderNames {
            id: "x-request-id".into(),
            token: "x-token".into(),
            time_left: "x-time-left-ms".into(),
            memory: "x-memory-kb".into(),
            tenant: None,
        }
    }
}

/// The target of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestTarget {
    Health,
    Method(MethodRequest),
}

#[derive(Clone, Debug, PartialEq)]
pub struct MethodRequest {
    /// The method's position in the deployment's list.
    pub method: usize,
    /// The request's id, 16 hex digits, if the request has one.
    pub id: Option<String>,
    pub token: Option<String>,
    pub time_left_us: Option<u64>,
    pub memory_kb: f64,
    pub tenant: Option<String>,
}

/// The refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    pub refusal: Refusal,
    /// The HTTP methods that are routed for the path, if the request's method is not.
    pub allowed_methods: Vec<String>,
    /// Whether the connection must not carry another request, as the peer or the length of the body is not trusted.
    pub closes_connection: bool,
}

fn reject<T>(status: u16, reason: &'static str) -> Result<T, Rejection> {
    Err(Rejection {
        refusal: Refusal { status, reason },
        allowed_methods: Vec::new(),
        closes_connection: false,
    })
}

/// The maximum length of a token, in bytes.
const MAX_TOKEN_LENGTH: usize = 64;
/// The maximum time that a request may state for its caller's wait, in milliseconds.
const MAX_TIME_LEFT_MS: u64 = 3_600_000;
/// The maximum length of a tenant's name, in bytes.
pub const MAX_TENANT_LENGTH: usize = 128;

impl Rules {
    /// Returns the target of the request and the length of its body.
    ///
    /// # Errors
    /// Returns the refusal if the request is invalid or has no route.
    pub fn evaluate(&self, request: &Request) -> Result<(RequestTarget, BodyLength), Rejection> {
        if !self.has_valid_secret(request.attribute(StringAttribute::Secret)) {
            return Err(Rejection {
                closes_connection: true,
                ..reject::<()>(403, "the secret is missing or wrong").unwrap_err()
            });
        }
        let Some(body) = request.body_length() else {
            return Err(Rejection {
                closes_connection: true,
                ..reject::<()>(400, "the body's length can't be right").unwrap_err()
            });
        };
        let path = request.uri.split(|b| *b == b'?').next().unwrap_or_default();
        if self.health.as_ref().is_some_and(|health| health.as_bytes() == path) {
            return match request.method {
                b"GET" | b"HEAD" => Ok((RequestTarget::Health, body)),
                _ => Err(method_not_allowed(vec!["GET".into(), "HEAD".into()])),
            };
        }
        let method = match self.routes.find(request.method, path) {
            Ok(RouteMatch::Method(method)) => method,
            Ok(RouteMatch::OtherMethods(allowed_methods)) => return Err(method_not_allowed(allowed_methods)),
            Ok(RouteMatch::NoRoute) => return reject(404, "no such route"),
            Err(error) => return reject(400, error.message()),
        };
        let method_request = MethodRequest {
            method,
            id: self.id(request)?,
            token: self.token(request)?,
            time_left_us: self.time_left_us(request)?,
            memory_kb: self.memory_kb(request)?,
            tenant: self.tenant(request)?,
        };
        Ok((RequestTarget::Method(method_request), body))
    }

    /// Compares the secret in constant time, so that the duration does not reveal how much of it is correct.
    fn has_valid_secret(&self, given: Option<&[u8]>) -> bool {
        let Some(secret) = &self.secret else { return true };
        given.is_some_and(|given| bool::from(secret.as_slice().ct_eq(given)))
    }

    /// Returns the request's id. The id is checked, as it is passed on in other protocols whose peers close the
    /// connection on an invalid one.
    fn id(&self, request: &Request) -> Result<Option<String>, Rejection> {
        let Some(id) = request.header(&self.headers.id) else { return Ok(None) };
        if id.len() != 16 || !id.iter().all(u8::is_ascii_hexdigit) {
            return reject(400, "the id is not 16 hex digits");
        }
        Ok(Some(String::from_utf8_lossy(id).into_owned()))
    }

    fn token(&self, request: &Request) -> Result<Option<String>, Rejection> {
        let Some(token) = request.header(&self.headers.token) else { return Ok(None) };
        if !(1..=MAX_TOKEN_LENGTH).contains(&token.len()) || !token.iter().all(u8::is_ascii_alphanumeric) {
            return reject(400, "the token is no word of letters and digits");
        }
        Ok(Some(String::from_utf8_lossy(token).into_owned()))
    }

    fn tenant(&self, request: &Request) -> Result<Option<String>, Rejection> {
        let Some(name) = self.headers.tenant.as_ref().and_then(|name| request.header(name)) else {
            return Ok(None);
        };
        if !(1..=MAX_TENANT_LENGTH).contains(&name.len()) || !name.iter().all(u8::is_ascii_graphic) {
            return reject(400, "the tenant is no word of printable letters");
        }
        Ok(Some(String::from_utf8_lossy(name).into_owned()))
    }

    fn time_left_us(&self, request: &Request) -> Result<Option<u64>, Rejection> {
        let Some(time_left) = request.header(&self.headers.time_left) else { return Ok(None) };
        match parse_number::<u64>(time_left).filter(|ms| *ms <= MAX_TIME_LEFT_MS) {
            Some(ms) => Ok(Some(ms * 1_000)),
            None => reject(400, "the time left is out of range"),
        }
    }

    fn memory_kb(&self, request: &Request) -> Result<f64, Rejection> {
        let kb = match request.header(&self.headers.memory) {
            Some(stated) => parse_number::<f64>(stated),
            None => self.default_memory_kb,
        };
        match kb.filter(|kb| *kb > 0.0 && *kb < self.memory_limit_kb) {
            Some(kb) => Ok(kb),
            None => reject(400, "the memory is missing or out of range"),
        }
    }
}

fn parse_number<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
    std::str::from_utf8(text).ok()?.parse().ok()
}

fn method_not_allowed(allowed_methods: Vec<String>) -> Rejection {
    let refusal = Refusal { status: 405, reason: "this path is there for other methods only" };
    Rejection { refusal, allowed_methods, closes_connection: false }
}
