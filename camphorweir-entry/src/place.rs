//! The places of the callers' listener: which paths there are, and which method each takes.

use {
    crate::openai::Style,
    camphorweir_wire::{code::Code, outcome::Refusal},
    hyper::{Method, Uri, http::request::Parts},
};

/// Where plain services are.
const SERVICES: &str = "/services/";

/// What a path asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Place {
    /// Tokens of a pipeline.
    Tokens(Style),
    /// A plain service.
    Service {
        /// The route.
        route: String,
        /// Path and query below the route, with a leading slash.
        path: String,
    },
    /// The check whether the process is up.
    Health,
    /// The balancer's check.
    Ready,
}

/// Finds the place that a head asks for.
///
/// # Errors
///
/// The refusal of a head that is over the limit, or has no such path or method.
pub fn find(head: &Parts, limit: usize) -> Result<Place, Refusal> {
    if head_size(head) > limit {
        return Err(Refusal::not_run(Code::HeadTooLarge, ""));
    }
    let (place, method) = match head.uri.path() {
        "/v1/completions" => (Place::Tokens(Style::Text), Method::POST),
        "/v1/chat/completions" => (Place::Tokens(Style::Chat), Method::POST),
        "/healthz" => (Place::Health, Method::GET),
        "/readyz" => (Place::Ready, Method::GET),
        path => (service(path, &head.uri)?, head.method.clone()),
    };
    match head.method == method && method != Method::CONNECT {
        true => Ok(place),
        false => Err(Refusal::not_run(Code::MethodNotAllowed, "")),
    }
}

fn service(path: &str, uri: &Uri) -> Result<Place, Refusal> {
    let unknown = || Refusal::not_run(Code::NoSuchPath, "");
    let rest = path.strip_prefix(SERVICES).ok_or_else(unknown)?;
    let (route, rest) = rest.split_once('/').unwrap_or((rest, ""));
    if route.is_empty() {
        return Err(unknown());
    }
    let query = uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    Ok(Place::Service {
        route: route.to_owned(),
        path: format!("/{rest}{query}"),
    })
}

fn head_size(head: &Parts) -> usize {
    let fields = head.headers.iter();
    let fields: usize = fields
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    let path = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    fields + path
}
