//! Checks a document and reports all faults at once.
//!
//! The fold rejects a publication whose result has faults, so these rules are part of the record
//! format: a release that changes them has to raise [`FORMAT`](crate::record::FORMAT), or old and
//! new instances would disagree on the version in force.

use {
    crate::{
        check_layers::layers_faults,
        check_workspace::{keys_faults, workspace_faults},
        fault::{Code, Fault},
        model::{Document, Kind, Link, Model, Pipeline, Serves, Target},
        record::Edit,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        ops::RangeInclusive,
    },
};

/// Longest name in characters.
pub const MAX_NAME: usize = 64;
/// Most kinds of accelerator, and most zones and models.
pub const MAX_SMALL_SECTION: usize = 1024;
/// Most pipelines, and most plain services.
pub const MAX_ROUTED_SECTION: usize = 4096;
/// Most links.
pub const MAX_LINKS: usize = 65_536;
/// Most targets, and most workspaces.
pub const MAX_LARGE_SECTION: usize = 65_536;
/// Layers of a model.
pub const MODEL_LAYERS: RangeInclusive<u64> = 1..=4096;
/// Bytes of one position's activation.
pub const ACTIVATION_BYTES: RangeInclusive<u64> = 1..=16 << 20;
/// Requests that a target processes in one decode step.
pub const BATCH_REQUESTS: RangeInclusive<u64> = 1..=4096;
/// Longest prompt or answer of a pipeline, in tokens.
pub const PIPELINE_TOKENS: RangeInclusive<u64> = 1..=1 << 20;
/// One-way delay of a link in microseconds, up to a minute.
pub const LINK_DELAY_US: RangeInclusive<u64> = 0..=60_000_000;

/// The faults of a document in the order of its sections; empty when it can be published.
///
/// Linear in the size of the document, except for sorting the targets of each model.
pub fn document(document: &Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    section_faults(document, &mut faults);
    kinds_faults(document, &mut faults);
    zones_faults(document, &mut faults);
    links_faults(document, &mut faults);
    models_faults(document, &mut faults);
    pipelines_faults(document, &mut faults);
    targets_faults(document, &mut faults);
    layers_faults(document, &mut faults);
    for (name, workspace) in &document.workspaces {
        workspace_faults(document, name, workspace, &mut faults);
    }
    keys_faults(document, &mut faults);
    faults
}

/// Faults that edits introduced into a document that had none before.
///
/// Edits of workspaces, the usual case, are checked alone, since nothing depends on a workspace
/// except the rule that no two have the same key. That is linear in the edits and in the number of
/// keys. After any other edit the whole document is checked.
pub fn edited(whole: &Document, edits: &[Edit]) -> Vec<Fault> {
    let mut names = BTreeSet::new();
    for edit in edits {
        match edit {
            Edit::Workspace(name, _) => names.insert(name.as_str()),
            _ => return document(whole),
        };
    }
    let mut faults = Vec::new();
    count_faults(
        &["workspaces"],
        whole.workspaces.len(),
        MAX_LARGE_SECTION,
        &mut faults,
    );
    let edited = whole
        .workspaces
        .iter()
        .filter(|(name, _)| names.contains(name.as_str()));
    for (name, workspace) in edited {
        name_faults(&["workspaces", name], name, &mut faults);
        workspace_faults(whole, name, workspace, &mut faults);
    }
    keys_faults(whole, &mut faults);
    faults
}

/// Whether a name is valid for an item of a document.
pub fn name_is_usable(name: &str) -> bool {
    let allowed = |c: char| matches!(c, 'a'..='z' | '0'..='9' | '.' | '_' | '-');
    !name.is_empty() && name.len() <= MAX_NAME && name.chars().all(allowed)
}

pub(crate) fn name_faults(steps: &[&str], name: &str, faults: &mut Vec<Fault>) {
    if !name_is_usable(name) {
        faults.push(Fault::new(
            Code::BadName,
            steps,
            format!("{name:?} is not a usable name"),
        ));
    }
}

pub(crate) fn count_faults(steps: &[&str], count: usize, limit: usize, faults: &mut Vec<Fault>) {
    if count > limit {
        let text = format!("{count} items, at most {limit} are allowed");
        faults.push(Fault::new(Code::OutOfBounds, steps, text));
    }
}

pub(crate) fn names_faults<T>(
    steps: &[&str],
    items: &BTreeMap<String, T>,
    limit: usize,
    faults: &mut Vec<Fault>,
) {
    count_faults(steps, items.len(), limit, faults);
    for name in items.keys() {
        let mut place = steps.to_vec();
        place.push(name);
        name_faults(&place, name, faults);
    }
}

pub(crate) fn bounds_faults(
    steps: &[&str],
    value: u64,
    bounds: &RangeInclusive<u64>,
    faults: &mut Vec<Fault>,
) {
    if !bounds.contains(&value) {
        let text = format!(
            "{value} is not between {} and {}",
            bounds.start(),
            bounds.end()
        );
        faults.push(Fault::new(Code::OutOfBounds, steps, text));
    }
}

pub(crate) fn reference_faults<T>(
    steps: &[&str],
    item_kind: &str,
    name: &str,
    items: &BTreeMap<String, T>,
    faults: &mut Vec<Fault>,
) {
    if !items.contains_key(name) {
        let text = format!("no {item_kind} is named {name:?}");
        faults.push(Fault::new(Code::NoSuchReference, steps, text));
    }
}

fn rate_faults(steps: &[&str], rate: f64, faults: &mut Vec<Fault>) {
    if !rate.is_finite() || rate <= 0.0 {
        let text = format!("{rate} is not a finite number above zero");
        faults.push(Fault::new(Code::BadRate, steps, text));
    }
}

fn section_faults(document: &Document, faults: &mut Vec<Fault>) {
    names_faults(&["kinds"], &document.kinds, MAX_SMALL_SECTION, faults);
    names_faults(&["zones"], &document.zones, MAX_SMALL_SECTION, faults);
    names_faults(&["models"], &document.models, MAX_SMALL_SECTION, faults);
    names_faults(
        &["pipelines"],
        &document.pipelines,
        MAX_ROUTED_SECTION,
        faults,
    );
    names_faults(
        &["services"],
        &document.services,
        MAX_ROUTED_SECTION,
        faults,
    );
    names_faults(&["targets"], &document.targets, MAX_LARGE_SECTION, faults);
    names_faults(
        &["workspaces"],
        &document.workspaces,
        MAX_LARGE_SECTION,
        faults,
    );
}

fn kinds_faults(document: &Document, faults: &mut Vec<Fault>) {
    for (name, kind) in &document.kinds {
        let Kind {
            prefill_rate,
            decode_layer_us,
            batch,
        } = kind;
        rate_faults(&["kinds", name, "prefill_rate"], *prefill_rate, faults);
        rate_faults(
            &["kinds", name, "decode_layer_us"],
            *decode_layer_us,
            faults,
        );
        bounds_faults(
            &["kinds", name, "batch"],
            u64::from(*batch),
            &BATCH_REQUESTS,
            faults,
        );
    }
}

fn zones_faults(document: &Document, faults: &mut Vec<Fault>) {
    for (name, zone) in &document.zones {
        name_faults(&["zones", name, "region"], &zone.region, faults);
    }
}

fn links_faults(document: &Document, faults: &mut Vec<Fault>) {
    count_faults(&["links"], document.links.len(), MAX_LINKS, faults);
    let mut seen = HashMap::new();
    for (index, link) in document.links.iter().enumerate() {
        let step = index.to_string();
        link_faults(document, &step, link, faults);
        let [a, b] = &link.between;
        if let Some(first) = seen.insert((a.min(b), a.max(b)), index) {
            let text = format!("{a} and {b} are already linked by links.{first}");
            faults.push(Fault::new(Code::DuplicateLink, &["links", &step], text));
        }
    }
}

fn link_faults(document: &Document, step: &str, link: &Link, faults: &mut Vec<Fault>) {
    for (end, zone) in link.between.iter().enumerate() {
        let place = ["links", step, "between", &end.to_string()];
        reference_faults(&place, "zone", zone, &document.zones, faults);
    }
    bounds_faults(
        &["links", step, "delay_us"],
        link.delay_us,
        &LINK_DELAY_US,
        faults,
    );
    rate_faults(&["links", step, "rate"], link.rate, faults);
}

fn models_faults(document: &Document, faults: &mut Vec<Fault>) {
    for (name, model) in &document.models {
        let Model {
            layers,
            activation,
            end_token: _,
        } = model;
        bounds_faults(
            &["models", name, "layers"],
            u64::from(*layers),
            &MODEL_LAYERS,
            faults,
        );
        bounds_faults(
            &["models", name, "activation"],
            *activation,
            &ACTIVATION_BYTES,
            faults,
        );
    }
}

fn pipelines_faults(document: &Document, faults: &mut Vec<Fault>) {
    for (name, pipeline) in &document.pipelines {
        let Pipeline {
            model,
            max_prompt,
            max_tokens,
        } = pipeline;
        let place = ["pipelines", name, "model"];
        reference_faults(&place, "model", model, &document.models, faults);
        let place = ["pipelines", name, "max_prompt"];
        bounds_faults(&place, u64::from(*max_prompt), &PIPELINE_TOKENS, faults);
        let place = ["pipelines", name, "max_tokens"];
        bounds_faults(&place, u64::from(*max_tokens), &PIPELINE_TOKENS, faults);
    }
}

fn targets_faults(document: &Document, faults: &mut Vec<Fault>) {
    let mut addresses = HashMap::new();
    for (name, target) in &document.targets {
        target_faults(document, name, target, faults);
        let place = ["targets", name, "address"];
        match address_of(&target.address) {
            None => {
                let text = format!("{:?} is not IP:PORT", target.address);
                faults.push(Fault::new(Code::BadAddress, &place, text));
            }
            Some(address) => {
                if let Some(first) = addresses.insert(address, name) {
                    let text = format!("target {first} already has {address}");
                    faults.push(Fault::new(Code::DuplicateAddress, &place, text));
                }
            }
        }
    }
}

fn address_of(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    (address.port() != 0).then_some(address)
}

fn target_faults(document: &Document, name: &str, target: &Target, faults: &mut Vec<Fault>) {
    let place = ["targets", name, "zone"];
    reference_faults(&place, "zone", &target.zone, &document.zones, faults);
    match &target.serves {
        Serves::Service(service) => {
            let place = ["targets", name, "serves", "service"];
            reference_faults(&place, "service", service, &document.services, faults);
        }
        Serves::Layers(engine) => {
            let place = ["targets", name, "serves", "layers", "model"];
            reference_faults(&place, "model", &engine.model, &document.models, faults);
            let place = ["targets", name, "serves", "layers", "kind"];
            reference_faults(&place, "kind", &engine.kind, &document.kinds, faults);
        }
    }
}
