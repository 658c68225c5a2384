//! A version in force, indexed for the path of every request.

use {
    crate::model::{
        Document, KeyHash, ModelId, Route, RouteId, Serves, ServiceId, TargetId, To, Version,
        WorkspaceId,
    },
    std::{collections::HashMap, sync::Arc},
};

/// A document with indexes over it.
///
/// The document is shared; besides it a view holds one entry for each key and the name of each
/// target, so a version of 13,000 workspaces costs a few megabytes more.
#[derive(Debug)]
pub struct View {
    document: Arc<Document>,
    version: Version,
    /// One owner for each hash; `check` refuses a document in which a hash stands twice.
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

    /// Its version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The workspace whose callers present the key with this hash.
    pub fn workspace(&self, hash: &str) -> Option<&WorkspaceId> {
        self.workspaces.get(hash)
    }

    /// The workspace's route to a pipeline that callers mean by `model`: the route of that name, else
    /// the first one by name whose pipeline has that name.
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

    /// The targets that hold layers of this model, by name; draining ones too.
    pub fn engines(&self, model: &str) -> &[TargetId] {
        self.engines.get(model).map_or(&[], Vec::as_slice)
    }

    /// The targets that serve this plain service, by name; draining ones too.
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
