//! Decodes a tree into typed values. A node that can't be decoded is marked, and the next pass
//! skips it.

use {
    crate::{
        decode_variant::{MapVariant, UnitVariant},
        fault::{Code, Fault},
        tree::{Content, NodeId, Tree},
    },
    serde::{
        Deserializer,
        de::{
            DeserializeSeed, Error, IntoDeserializer, MapAccess, SeqAccess, Unexpected, Visitor,
            value::StringDeserializer,
        },
        forward_to_deserialize_any,
    },
    std::{
        cell::RefCell,
        fmt::{self, Display, Formatter},
    },
};

/// The faults found so far and the nodes that have them.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Whether a node is faulty, by node id.
    faulty: Vec<bool>,
    pub(crate) faults: Vec<Fault>,
}

impl Progress {
    pub(crate) fn new(tree: &Tree, faults: Vec<Fault>) -> Self {
        Self {
            faulty: vec![false; tree.nodes.len()],
            faults,
        }
    }

    /// Records an error and marks its node as faulty. Returns false when another pass can't get any
    /// further: the node was marked before, or is the root.
    pub(crate) fn record(&mut self, tree: &Tree, error: Failure) -> bool {
        let id = error.node.unwrap_or(0);
        if let Some(code) = error.code {
            let place = tree.place(id);
            let text = error.text;
            self.faults.push(Fault { code, place, text });
        }
        let is_new = !self.faulty[id];
        self.faulty[id] = true;
        is_new && id != 0
    }
}

/// Why a value can't be decoded.
#[derive(Debug)]
pub(crate) struct Failure {
    /// The innermost node; none until the error reaches one.
    node: Option<NodeId>,
    /// None when the error follows from a fault of a descendant, which is marked already.
    code: Option<Code>,
    text: String,
}

impl Failure {
    fn new(code: Code, text: String) -> Self {
        Self {
            node: None,
            code: Some(code),
            text,
        }
    }
}

impl Display for Failure {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl std::error::Error for Failure {}

impl Error for Failure {
    fn custom<T: Display>(text: T) -> Self {
        Self::new(Code::WrongType, text.to_string())
    }

    fn missing_field(field: &'static str) -> Self {
        Self::new(Code::MissingField, field.to_owned())
    }
}

/// Deserializer of one node.
#[derive(Clone, Copy)]
pub(crate) struct NodeDeserializer<'t> {
    pub(crate) tree: &'t Tree,
    pub(crate) progress: &'t RefCell<Progress>,
    pub(crate) id: NodeId,
}

impl<'t> NodeDeserializer<'t> {
    fn child(self, id: NodeId) -> Self {
        Self { id, ..self }
    }

    fn content(self) -> &'t Content {
        &self.tree.nodes[self.id].content
    }

    fn is_faulty(self) -> bool {
        self.progress.borrow().faulty[self.id]
    }

    /// Sets the node of an error, and clears the code of one that follows from a child's fault.
    fn locate(self, mut failure: Failure) -> Failure {
        if failure.node.is_some() {
            return failure;
        }
        failure.node = Some(self.id);
        let is_consequence = match failure.code {
            Some(Code::MissingField) => self.has_faulty_field(&failure.text),
            _ => self.has_faulty_child(),
        };
        if is_consequence {
            failure.code = None;
        } else if failure.code == Some(Code::MissingField) {
            failure.text = format!("the field {:?} is missing", failure.text);
        }
        failure
    }

    fn has_faulty_field(self, field: &str) -> bool {
        match self.content() {
            Content::Map(items) => items
                .iter()
                .any(|(key, id)| key == field && self.child(*id).is_faulty()),
            _ => false,
        }
    }

    fn has_faulty_child(self) -> bool {
        match self.content() {
            Content::Map(items) => items.iter().any(|(_, id)| self.child(*id).is_faulty()),
            Content::List(items) => items.iter().any(|id| self.child(*id).is_faulty()),
            _ => false,
        }
    }

    fn visit_list<'de, V: Visitor<'de>>(
        self,
        items: &'t [NodeId],
        visitor: V,
    ) -> Result<V::Value, Failure> {
        let decodable: Vec<_> = items
            .iter()
            .map(|id| self.child(*id))
            .filter(|item| !item.is_faulty())
            .collect();
        let mut list = ListAccess {
            items: decodable.iter(),
        };
        let value = visitor.visit_seq(&mut list)?;
        match list.items.len() {
            0 => Ok(value),
            extra => Err(Failure::custom(format!("{extra} more items than expected"))),
        }
    }

    fn visit_items<'de, V: Visitor<'de>>(
        self,
        items: &'t [(String, NodeId)],
        visitor: V,
    ) -> Result<V::Value, Failure> {
        visitor.visit_map(MappingAccess {
            item: self,
            items: items.iter(),
            value: None,
        })
    }

    /// Records a fault for every field that the type does not have.
    fn record_unknown_fields(self, items: &[(String, NodeId)], fields: &[&str]) {
        let mut progress = self.progress.borrow_mut();
        for (key, id) in items {
            if fields.contains(&key.as_str()) || progress.faulty[*id] {
                continue;
            }
            let text = format!("no such field; expected one of {}", fields.join(", "));
            let failure = Failure {
                node: Some(*id),
                code: Some(Code::UnknownField),
                text,
            };
            progress.record(self.tree, failure);
        }
    }

    fn unexpected(self) -> Unexpected<'t> {
        match self.content() {
            Content::Null => Unexpected::Unit,
            Content::Bool(value) => Unexpected::Bool(*value),
            Content::Unsigned(value) => Unexpected::Unsigned(*value),
            Content::Signed(value) => Unexpected::Signed(*value),
            Content::Float(value) => Unexpected::Float(*value),
            Content::Text(value) => Unexpected::Str(value),
            Content::List(_) => Unexpected::Seq,
            Content::Map(_) => Unexpected::Map,
        }
    }
}

impl<'de> Deserializer<'de> for NodeDeserializer<'_> {
    type Error = Failure;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Failure> {
        let value = match self.content() {
            Content::Null => visitor.visit_unit(),
            Content::Bool(value) => visitor.visit_bool(*value),
            Content::Unsigned(value) => visitor.visit_u64(*value),
            Content::Signed(value) => visitor.visit_i64(*value),
            Content::Float(value) => visitor.visit_f64(*value),
            Content::Text(value) => visitor.visit_str(value),
            Content::List(items) => self.visit_list(items, visitor),
            Content::Map(items) => self.visit_items(items, visitor),
        };
        value.map_err(|failure| self.locate(failure))
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Failure> {
        match self.content() {
            Content::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Failure> {
        let Content::Map(items) = self.content() else {
            return Err(self.locate(Failure::invalid_type(self.unexpected(), &"a mapping")));
        };
        self.record_unknown_fields(items, fields);
        self.visit_items(items, visitor)
            .map_err(|failure| self.locate(failure))
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Failure> {
        let value = match self.content() {
            Content::Text(name) => visitor.visit_enum(UnitVariant(name)),
            Content::Map(items) => match &items[..] {
                [(name, id)] if !self.child(*id).is_faulty() => visitor.visit_enum(MapVariant {
                    name,
                    item: self.child(*id),
                }),
                _ => Err(expected_one_of(variants)),
            },
            _ => Err(expected_one_of(variants)),
        };
        value.map_err(|failure| self.locate(failure))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct newtype_struct seq tuple tuple_struct map identifier ignored_any
    }
}

fn expected_one_of(variants: &[&str]) -> Failure {
    Failure::custom(format!("expected exactly one of {}", variants.join(", ")))
}

struct ListAccess<'a, 't> {
    items: std::slice::Iter<'a, NodeDeserializer<'t>>,
}

impl<'de> SeqAccess<'de> for &mut ListAccess<'_, '_> {
    type Error = Failure;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, Failure> {
        let item = self.items.next().copied();
        item.map(|item| seed.deserialize(item)).transpose()
    }
}

struct MappingAccess<'t> {
    item: NodeDeserializer<'t>,
    items: std::slice::Iter<'t, (String, NodeId)>,
    value: Option<NodeDeserializer<'t>>,
}

impl<'de> MapAccess<'de> for MappingAccess<'_> {
    type Error = Failure;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, Failure> {
        for (key, id) in self.items.by_ref() {
            let value = self.item.child(*id);
            if value.is_faulty() {
                continue;
            }
            self.value = Some(value);
            let key: StringDeserializer<Failure> = key.clone().into_deserializer();
            return seed.deserialize(key).map(Some);
        }
        Ok(None)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, Failure> {
        let value = self
            .value
            .take()
            .ok_or_else(|| Failure::custom("a value without its key"))?;
        seed.deserialize(value)
    }
}
