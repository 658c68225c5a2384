//! A configuration version with indexes for the lookups that every request makes.

use {
    crate::model::{
        Document, KeyHash, ModelId, Route, RouteId, Serves, ServiceId, TargetId, To, Version,
        WorkspaceId,
    },
    std::{collections::HashMap, sync::Arc},
};

/// A document with indexes over it.
///
/// The document is shared; besides it a view holds one map entry for each key and the name of each
/// target, so a version of 13,000 workspaces needs a few more megabytes.
#[derive(Debug)]
pub struct View {
    document: Arc<Document>,
    version: Version,
    /// The owner of each key hash; `check` rejects a document that has a hash twice.
    workspaces: HashMap<KeyHash, WorkspaceId>,
    engines: HashMap<ModelId, Vec<TargetId>>,
    servers: HashMap<ServiceId, Vec<TargetId>>,
}

impl View {
    /// Indexes a document; linear in its size.
    pub fn new(document: Arc<Document>, version: Version) -> Self {
        let mut engines: HashMap<ModelId, Vec<TargetId>> = HashMap::new();
        let mut servers: HashMap<ServiceId, Vec<TargetId>> = HashMap::new();
        for (name, target) in &document.targets {
            let names = match &target.serves {
                Serves::Layers(engine) => engines.entry(engine.model.clone()).or_default(),
                Serves::Service(service) => servers.entry(service.clone()).or_default(),
            };
            names.push(name.clone());
        }
        Self {
            workspaces: view_workspaces(&document),
            engines,
            servers,
            document,
            version,
        }
    }

    /// The document.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// The document's version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The workspace that owns the key with this hash.
    pub fn workspace(&self, hash: &str) -> Option<&WorkspaceId> {
        self.workspaces.get(hash)
    }

    /// The workspace's route for the `model` of a request: the route to a pipeline with that name,
    /// or else the first route by name whose pipeline has that name.
    ///
    /// Linear in the workspace's routes, which `check` bounds by
    /// [`MAX_ROUTES`](crate::check_workspace::MAX_ROUTES).
    pub fn pipeline_route(&self, workspace: &str, model: &str) -> Option<(&RouteId, &Route)> {
        let routes = &self.document.workspaces.get(workspace)?.routes;
        let named = routes
            .get_key_value(model)
            .filter(|(_, route)| matches!(route.to, To::Pipeline(_)));
        named.or_else(|| {
            routes
                .iter()
                .find(|(_, route)| matches!(&route.to, To::Pipeline(name) if name == model))
        })
    }

    /// The workspace's route of this name to a plain service.
    pub fn service_route(&self, workspace: &str, route: &str) -> Option<&Route> {
        let routes = &self.document.workspaces.get(workspace)?.routes;
        routes
            .get(route)
            .filter(|route| matches!(route.to, To::Service(_)))
    }

    /// The targets that hold layers of this model, by name, including draining ones.
    pub fn engines(&self, model: &str) -> &[TargetId] {
        self.engines.get(model).map_or(&[], Vec::as_slice)
    }

    /// The targets that serve this plain service, by name, including draining ones.
    pub fn servers(&self, service: &str) -> &[TargetId] {
        self.servers.get(service).map_or(&[], Vec::as_slice)
    }
}

fn view_workspaces(document: &Document) -> HashMap<KeyHash, WorkspaceId> {
    let mut workspaces = HashMap::new();
    for (name, workspace) in &document.workspaces {
        for hash in &workspace.keys {
            workspaces.insert(hash.clone(), name.clone());
        }
    }
    workspaces
}
