//! A small configuration of the users' platform: two plain targets and a model of ten layers.

use serde_json::{Value, json};

/// A configuration with these keys, each of a workspace of its own.
pub(crate) fn site(version: u64, keys: &[&str]) -> Value {
    let route = |prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": prefix, "host": "h.example", "pathPrefix": prefix, "kind": kind,
            "timeoutMs": 8000, "targetLatencyMs": 500, "service": service,
            "maxAttempts": attempts, "resumable": prefix == "/text/",
        })
    };
    let tenants = keys
        .iter()
        .map(|key| json!({"name": format!("w-{key}"), "apiKeys": [key]}));
    let tenants: Vec<Value> = tenants.collect();
    json!({
        "version": version,
        "routes": [
            route("/seal/", "non_idempotent", "ledger", 1),
            route("/look/", "idempotent", "ledger", 2),
            route("/text/", "streaming", "scribe", 2),
            route("/once/", "streaming", "scribe", 2),
        ],
        "services": [
            {"name": "ledger", "maxConnections": 100},
            {"name": "scribe", "maxConnections": 100, "engine": {
                "layers": 10, "layerMb": 100.0, "kvTokenBytes": 10000, "step_ms": 1.0,
                "read_per_s": 100000.0, "usual": {"prompt": 10, "answer": 10},
                "models": [{"loadS": 0.1}],
                "kinds": [{"name": "half", "mb": 600.0, "pace": 1.0, "readFactor": 1.0}],
            }},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": tenants,
    })
}
