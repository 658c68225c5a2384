//! A tree as typed values; a node that can't be decoded is marked and left out of the next try.

use {
    crate::{
        decode_variant::{Variant, Word},
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
pub(crate) struct Marks {
    /// By node.
    bad: Vec<bool>,
    pub(crate) faults: Vec<Fault>,
}

impl Marks {
    pub(crate) fn new(tree: &Tree, faults: Vec<Fault>) -> Self {
        Self {
            bad: vec![false; tree.nodes.len()],
            faults,
        }
    }

    /// Marks the node that an error stands at; false when there is none left to mark.
    pub(crate) fn note(&mut self, tree: &Tree, error: Failure) -> bool {
        let id = error.at.unwrap_or(0);
        if let Some(code) = error.code {
            let place = tree.place(id);
            let text = error.text;
            self.faults.push(Fault { code, place, text });
        }
        let fresh = !self.bad[id];
        self.bad[id] = true;
        fresh && id != 0
    }
}

/// Why a value can't be decoded.
#[derive(Debug)]
pub(crate) struct Failure {
    /// The innermost node; none until the error passes one.
    at: Option<NodeId>,
    /// None when the fault is that of a node further in, which is marked already.
    code: Option<Code>,
    text: String,
}

impl Failure {
    fn new(code: Code, text: String) -> Self {
        Self {
            at: None,
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

/// One node and what is known of the tree.
#[derive(Clone, Copy)]
pub(crate) struct Item<'t> {
    pub(crate) tree: &'t Tree,
    pub(crate) marks: &'t RefCell<Marks>,
    pub(crate) id: NodeId,
}

impl<'t> Item<'t> {
    fn child(self, id: NodeId) -> Self {
        Self { id, ..self }
    }

    fn content(self) -> &'t Content {
        &self.tree.nodes[self.id].content
    }

    fn is_bad(self) -> bool {
        self.marks.borrow().bad[self.id]
    }

    /// Gives an error its node, and silences one that follows from a child's.
    fn at(self, mut failure: Failure) -> Failure {
        if failure.at.is_some() {
            return failure;
        }
        failure.at = Some(self.id);
        let follows = match failure.code {
            Some(Code::MissingField) => self.has_bad_field(&failure.text),
            _ => self.has_bad_child(),
        };
        if follows {
            failure.code = None;
        } else if failure.code == Some(Code::MissingField) {
            failure.text = format!("the field {:?} is missing", failure.text);
        }
        failure
    }

    fn has_bad_field(self, field: &str) -> bool {
        match self.content() {
            Content::Map(items) => items
                .iter()
                .any(|(key, id)| key == field && self.child(*id).is_bad()),
            _ => false,
        }
    }

    fn has_bad_child(self) -> bool {
        match self.content() {
            Content::Map(items) => items.iter().any(|(_, id)| self.child(*id).is_bad()),
            Content::List(items) => items.iter().any(|id| self.child(*id).is_bad()),
            _ => false,
        }
    }

    fn visit_list<'de, V: Visitor<'de>>(
        self,
        items: &'t [NodeId],
        visitor: V,
    ) -> Result<V::Value, Failure> {
        let good: Vec<_> = items
            .iter()
            .map(|id| self.child(*id))
            .filter(|item| !item.is_bad())
            .collect();
        let mut list = List { items: good.iter() };
        let value = visitor.visit_seq(&mut list)?;
        match list.items.len() {
            0 => Ok(value),
            extra => Err(Failure::custom(format!("{extra} items too many"))),
        }
    }

    fn visit_items<'de, V: Visitor<'de>>(
        self,
        items: &'t [(String, NodeId)],
        visitor: V,
    ) -> Result<V::Value, Failure> {
        visitor.visit_map(Map {
            item: self,
            items: items.iter(),
            value: None,
        })
    }

    /// Every field that the type does not have is a fault, and only those.
    fn mark_unknown(self, items: &[(String, NodeId)], fields: &[&str]) {
        let mut marks = self.marks.borrow_mut();
        for (key, id) in items {
            if fields.contains(&key.as_str()) || marks.bad[*id] {
                continue;
            }
            let text = format!("no such field; expected one of {}", fields.join(", "));
            let failure = Failure {
                at: Some(*id),
                code: Some(Code::UnknownField),
                text,
            };
            marks.note(self.tree, failure);
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

impl<'de> Deserializer<'de> for Item<'_> {
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
        value.map_err(|failure| self.at(failure))
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
            return Err(self.at(Failure::invalid_type(self.unexpected(), &"a mapping")));
        };
        self.mark_unknown(items, fields);
        self.visit_items(items, visitor)
            .map_err(|failure| self.at(failure))
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Failure> {
        let value = match self.content() {
            Content::Text(name) => visitor.visit_enum(Word(name)),
            Content::Map(items) => match &items[..] {
                [(name, id)] if !self.child(*id).is_bad() => visitor.visit_enum(Variant {
                    name,
                    item: self.child(*id),
                }),
                _ => Err(one_of(variants)),
            },
            _ => Err(one_of(variants)),
        };
        value.map_err(|failure| self.at(failure))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct newtype_struct seq tuple tuple_struct map identifier ignored_any
    }
}

fn one_of(variants: &[&str]) -> Failure {
    Failure::custom(format!("expected exactly one of {}", variants.join(", ")))
}

struct List<'a, 't> {
    items: std::slice::Iter<'a, Item<'t>>,
}

impl<'de> SeqAccess<'de> for &mut List<'_, '_> {
    type Error = Failure;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, Failure> {
        let item = self.items.next().copied();
        item.map(|item| seed.deserialize(item)).transpose()
    }
}

struct Map<'t> {
    item: Item<'t>,
    items: std::slice::Iter<'t, (String, NodeId)>,
    value: Option<Item<'t>>,
}

impl<'de> MapAccess<'de> for Map<'_> {
    type Error = Failure;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, Failure> {
        for (key, id) in self.items.by_ref() {
            let value = self.item.child(*id);
            if value.is_bad() {
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
