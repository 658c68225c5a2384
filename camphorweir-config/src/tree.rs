//! YAML text as a tree whose nodes have their positions in the text.

use {
    crate::fault::{Code, Fault, Place, Position},
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

/// Longest accepted text in bytes.
pub const MAX_BYTES: usize = 32 << 20;
/// Deepest accepted nesting.
const MAX_DEPTH: usize = 32;
/// Most scalars, lists and mappings in a text.
const MAX_NODES: usize = 2_000_000;
/// Most parser events; a node produces at most two.
const MAX_EVENTS: usize = 2 * MAX_NODES + 16;
/// Most parser events that aliases may replay.
const MAX_ALIAS_EVENTS: usize = 100_000;

/// Index of a node; a parent has a lower one than its children.
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
    /// The key or list index in the parent; empty at the root.
    step: String,
    /// Position of the key, or of the value where there is no key.
    position: Option<Position>,
}

/// The value of a node.
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
            position: self.nodes[id].position,
        }
    }

    /// The position of the deepest existing node on the path of these steps.
    pub(crate) fn position(&self, steps: &[String], index: &Index) -> Option<Position> {
        let mut at = 0;
        for step in steps {
            let Some(child) = index.0.get(&(at, step.as_str())) else {
                break;
            };
            at = *child;
        }
        self.nodes[at].position
    }

    /// Builds the index for [`Tree::position`]; only needed when there are faults.
    pub(crate) fn index(&self) -> Index<'_> {
        let steps = self.nodes.iter().enumerate().skip(1);
        Index(
            steps
                .map(|(id, node)| ((node.parent, node.step.as_str()), id))
                .collect(),
        )
    }
}

/// Nodes by parent and step.
pub(crate) struct Index<'t>(HashMap<(NodeId, &'t str), NodeId>);

/// Parses a text of at most [`MAX_BYTES`]. A duplicate key is a fault, and its first value is used.
pub(crate) fn tree_of(text: &str) -> Result<(Tree, Vec<Fault>), Fault> {
    if text.len() > MAX_BYTES {
        let text = format!("{} bytes; the limit is {MAX_BYTES}", text.len());
        return Err(Fault::new(Code::TooLarge, &[], text));
    }
    let root: Spanned<Raw> = serde_saphyr::from_str_with_options(text, options())
        .map_err(|error| syntax_fault(&error))?;
    let mut tree = Tree { nodes: Vec::new() };
    let mut duplicates = Vec::new();
    let position = position_of(root.referenced);
    tree_add(
        &mut tree,
        root.value,
        0,
        String::new(),
        position,
        &mut duplicates,
    );
    Ok((tree, duplicates))
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
            max_total_replayed_events: MAX_ALIAS_EVENTS,
        },
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        emit_comments: false,
        merge_keys: MergeKeyPolicy::AsOrdinary,
        non_finite_float_policy: NonFiniteFloatPolicy::PassThrough,
        strict_booleans: true,
        with_snippet: false,
    }
}

fn syntax_fault(error: &serde_saphyr::Error) -> Fault {
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
    fault.place.position = error.location().and_then(position_of);
    fault
}

fn position_of(location: Location) -> Option<Position> {
    (location != Location::UNKNOWN).then(|| Position {
        line: location.line(),
        column: location.column(),
    })
}

fn tree_add(
    tree: &mut Tree,
    raw: Raw,
    parent: NodeId,
    step: String,
    position: Option<Position>,
    duplicates: &mut Vec<Fault>,
) -> NodeId {
    let id = tree.nodes.len();
    tree.nodes.push(Node {
        content: Content::Null,
        parent,
        step,
        position,
    });
    tree.nodes[id].content = match raw {
        Raw::Scalar(content) => content,
        Raw::List(items) => Content::List(list_add(tree, items, id, duplicates)),
        Raw::Map(items) => Content::Map(map_add(tree, items, id, duplicates)),
    };
    id
}

fn list_add(
    tree: &mut Tree,
    items: Vec<Spanned<Raw>>,
    parent: NodeId,
    duplicates: &mut Vec<Fault>,
) -> Vec<NodeId> {
    let items = items.into_iter().enumerate();
    items
        .map(|(index, item)| {
            let position = position_of(item.referenced);
            tree_add(
                tree,
                item.value,
                parent,
                index.to_string(),
                position,
                duplicates,
            )
        })
        .collect()
}

fn map_add(
    tree: &mut Tree,
    items: Vec<(Spanned<String>, Spanned<Raw>)>,
    parent: NodeId,
    duplicates: &mut Vec<Fault>,
) -> Vec<(String, NodeId)> {
    let mut seen = HashSet::new();
    let mut children = Vec::new();
    for (key, value) in items {
        let position = position_of(key.referenced);
        let key = key.value;
        if !seen.insert(key.clone()) {
            let mut place = tree.place(parent);
            place.steps.push(key);
            place.position = position;
            duplicates.push(Fault {
                code: Code::DuplicateKey,
                place,
                text: "duplicate key in this mapping".to_owned(),
            });
            continue;
        }
        let child = tree_add(tree, value.value, parent, key.clone(), position, duplicates);
        children.push((key, child));
    }
    children
}

/// A value as the YAML library deserializes it.
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
