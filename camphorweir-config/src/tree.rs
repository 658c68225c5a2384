//! YAML text as a tree whose nodes know where they stand.

use {
    crate::fault::{Code, Fault, Mark, Place},
    serde::{
        Deserialize, Deserializer,
        de::{Error, MapAccess, SeqAccess, Visitor},
    },
    serde_saphyr::{
        Location, Options, Spanned,
        options::{DuplicateKeyPolicy, MergeKeyPolicy, NonFiniteFloatPolicy},
    },
    std::{
        collections::{HashMap, HashSet},
        fmt::{self, Formatter},
    },
};

/// Longest text in bytes.
pub const MAX_BYTES: usize = 32 << 20;
/// Deepest nesting.
const MAX_DEPTH: usize = 32;
/// Most scalars, lists and mappings.
const MAX_NODES: usize = 2_000_000;
/// Most parser events; a node takes at most two.
const MAX_EVENTS: usize = 2 * MAX_NODES + 16;
/// Most events that aliases may repeat.
const MAX_REPLAYED: usize = 100_000;

/// Index of a node; a parent's is lower than its children's.
pub(crate) type NodeId = usize;

/// A tree; node 0 is the root.
#[derive(Debug)]
pub(crate) struct Tree {
    pub(crate) nodes: Vec<Node>,
}

/// One value.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) content: Content,
    parent: NodeId,
    /// The step from the parent; empty at the root.
    step: String,
    /// Where its key stands, or the value where there is no key.
    mark: Option<Mark>,
}

/// What a node holds.
#[derive(Debug)]
pub(crate) enum Content {
    Null,
    Bool(bool),
    Unsigned(u64),
    Signed(i64),
    Float(f64),
    Text(String),
    List(Vec<NodeId>),
    Map(Vec<(String, NodeId)>),
}

impl Tree {
    /// The place of a node.
    pub(crate) fn place(&self, id: NodeId) -> Place {
        let mut steps = Vec::new();
        let mut at = id;
        while at != 0 {
            steps.push(self.nodes[at].step.clone());
            at = self.nodes[at].parent;
        }
        steps.reverse();
        Place {
            steps,
            mark: self.nodes[id].mark,
        }
    }

    /// The mark of the deepest node on the way along these steps.
    pub(crate) fn mark(&self, steps: &[String], index: &Index) -> Option<Mark> {
        let mut at = 0;
        for step in steps {
            let Some(child) = index.0.get(&(at, step.as_str())) else {
                break;
            };
            at = *child;
        }
        self.nodes[at].mark
    }

    /// Finds children by their step; built once, when there are faults to place.
    pub(crate) fn index(&self) -> Index<'_> {
        let steps = self.nodes.iter().enumerate().skip(1);
        Index(
            steps
                .map(|(id, node)| ((node.parent, node.step.as_str()), id))
                .collect(),
        )
    }
}

/// Children by parent and step.
pub(crate) struct Index<'t>(HashMap<(NodeId, &'t str), NodeId>);

/// Reads a text of at most [`MAX_BYTES`]; a key that stands twice is a fault and its first value is
/// kept.
pub(crate) fn tree_of(text: &str) -> Result<(Tree, Vec<Fault>), Fault> {
    if text.len() > MAX_BYTES {
        let text = format!("{} bytes, at most {MAX_BYTES} are read", text.len());
        return Err(Fault::new(Code::TooLarge, &[], text));
    }
    let root: Spanned<Raw> =
        serde_saphyr::from_str_with_options(text, options()).map_err(|error| syntax(&error))?;
    let mut tree = Tree { nodes: Vec::new() };
    let mut twice = Vec::new();
    let mark = mark_of(root.referenced);
    tree_add(&mut tree, root.value, 0, String::new(), mark, &mut twice);
    Ok((tree, twice))
}

fn options() -> Options {
    serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_depth: MAX_DEPTH,
            max_documents: 2,
            max_events: MAX_EVENTS,
            max_nodes: MAX_NODES,
        },
        alias_limits: serde_saphyr::alias_limits! {
            max_total_replayed_events: MAX_REPLAYED,
        },
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        emit_comments: false,
        merge_keys: MergeKeyPolicy::AsOrdinary,
        non_finite_float_policy: NonFiniteFloatPolicy::PassThrough,
        strict_booleans: true,
        with_snippet: false,
    }
}

fn syntax(error: &serde_saphyr::Error) -> Fault {
    let error = error.without_snippet();
    let text = match error {
        serde_saphyr::Error::MultipleDocuments { .. } => "more than one document".to_owned(),
        _ => error.to_string(),
    };
    let code = match error {
        serde_saphyr::Error::Budget { .. } => Code::TooLarge,
        _ => Code::Syntax,
    };
    let mut fault = Fault::new(code, &[], text);
    fault.place.mark = error.location().and_then(mark_of);
    fault
}

fn mark_of(location: Location) -> Option<Mark> {
    (location != Location::UNKNOWN).then(|| Mark {
        line: location.line(),
        column: location.column(),
    })
}

fn tree_add(
    tree: &mut Tree,
    raw: Raw,
    parent: NodeId,
    step: String,
    mark: Option<Mark>,
    twice: &mut Vec<Fault>,
) -> NodeId {
    let id = tree.nodes.len();
    tree.nodes.push(Node {
        content: Content::Null,
        parent,
        step,
        mark,
    });
    tree.nodes[id].content = match raw {
        Raw::Scalar(content) => content,
        Raw::List(items) => Content::List(list_add(tree, items, id, twice)),
        Raw::Map(items) => Content::Map(map_add(tree, items, id, twice)),
    };
    id
}

fn list_add(
    tree: &mut Tree,
    items: Vec<Spanned<Raw>>,
    parent: NodeId,
    twice: &mut Vec<Fault>,
) -> Vec<NodeId> {
    let items = items.into_iter().enumerate();
    items
        .map(|(index, item)| {
            let mark = mark_of(item.referenced);
            tree_add(tree, item.value, parent, index.to_string(), mark, twice)
        })
        .collect()
}

fn map_add(
    tree: &mut Tree,
    items: Vec<(Spanned<String>, Spanned<Raw>)>,
    parent: NodeId,
    twice: &mut Vec<Fault>,
) -> Vec<(String, NodeId)> {
    let mut seen = HashSet::new();
    let mut children = Vec::new();
    for (key, value) in items {
        let mark = mark_of(key.referenced);
        let key = key.value;
        if !seen.insert(key.clone()) {
            let mut place = tree.place(parent);
            place.steps.push(key);
            place.mark = mark;
            twice.push(Fault {
                code: Code::DuplicateKey,
                place,
                text: "the key stands in this mapping already".to_owned(),
            });
            continue;
        }
        let child = tree_add(tree, value.value, parent, key.clone(), mark, twice);
        children.push((key, child));
    }
    children
}

/// A value as the YAML library hands it over.
enum Raw {
    Scalar(Content),
    List(Vec<Spanned<Raw>>),
    Map(Vec<(Spanned<String>, Spanned<Raw>)>),
}

impl<'de> Deserialize<'de> for Raw {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RawVisitor)
    }
}

struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = Raw;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E: Error>(self) -> Result<Raw, E> {
        Ok(Raw::Scalar(Content::Null))
    }

    fn visit_none<E: Error>(self) -> Result<Raw, E> {
        Ok(Raw::Scalar(Content::Null))
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Raw, E> {
        Ok(Raw::Scalar(Content::Bool(value)))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Raw, E> {
        Ok(Raw::Scalar(Content::Unsigned(value)))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Raw, E> {
        let content = u64::try_from(value).map_or(Content::Signed(value), Content::Unsigned);
        Ok(Raw::Scalar(content))
    }

    fn visit_u128<E: Error>(self, value: u128) -> Result<Raw, E> {
        Ok(Raw::Scalar(Content::Float(value as f64)))
    }

    fn visit_i128<E: Error>(self, value: i128) -> Result<Raw, E> {
        Ok(Raw::Scalar(Content::Float(value as f64)))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Raw, E> {
        Ok(Raw::Scalar(Content::Float(value)))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Raw, E> {
        Ok(Raw::Scalar(Content::Text(value.to_owned())))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Raw, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            list.push(item);
        }
        Ok(Raw::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut items: A) -> Result<Raw, A::Error> {
        let mut map = Vec::new();
        while let Some(item) = items.next_entry()? {
            map.push(item);
        }
        Ok(Raw::Map(map))
    }
}
