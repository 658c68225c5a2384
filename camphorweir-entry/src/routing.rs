//! The endpoints of the callers' listener: their paths and methods.

use {
    crate::openai::Api,
    camphorweir_wire::{code::Code, outcome::Refusal},
    hyper::{Method, Uri, http::request::Parts},
};

/// Path prefix of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// What a request is addressed to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// Token generation by a pipeline.
    Tokens(Api),
    /// A plain service.
    Service {
        /// The route.
        route: String,
        /// Path and query below the route, with a leading slash.
        path: String,
    },
    /// The liveness check.
    Health,
    /// The readiness check, used by the load balancer.
    Ready,
}

/// Finds the endpoint of a request head.
///
/// # Errors
///
/// The refusal for a head that exceeds `limit`, an unknown path or a method that isn't allowed.
pub fn find_endpoint(head: &Parts, limit: usize) -> Result<Endpoint, Refusal> {
    if head_size(head) > limit {
        return Err(Refusal::not_run(Code::HeadTooLarge, ""));
    }
    let (endpoint, method) = match head.uri.path() {
        "/v1/completions" => (Endpoint::Tokens(Api::Completion), Method::POST),
        "/v1/chat/completions" => (Endpoint::Tokens(Api::Chat), Method::POST),
        "/healthz" => (Endpoint::Health, Method::GET),
        "/readyz" => (Endpoint::Ready, Method::GET),
        path => (service_endpoint(path, &head.uri)?, head.method.clone()),
    };
    match head.method == method && method != Method::CONNECT {
        true => Ok(endpoint),
        false => Err(Refusal::not_run(Code::MethodNotAllowed, "")),
    }
}

fn service_endpoint(path: &str, uri: &Uri) -> Result<Endpoint, Refusal> {
    let not_found = || Refusal::not_run(Code::NoSuchPath, "");
    let rest = path.strip_prefix(SERVICES_PREFIX).ok_or_else(not_found)?;
    let (route, rest) = rest.split_once('/').unwrap_or((rest, ""));
    if route.is_empty() {
        return Err(not_found());
    }
    let query = uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    Ok(Endpoint::Service {
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
