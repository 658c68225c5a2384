//! Encodes messages that gained a field with the names of their fields.
//!
//! Releases run side by side during an upgrade. All from e39a49a on read a message both by position and
//! by name; by name they pass over fields that they do not know, and one that is missing has its
//! default. A message is encoded by position, which is shorter, until a release adds a field to it. A
//! field whose meaning changes gets another name. Rows of which a message has many never change.

/// Implements `Serialize` for a struct as a map from the names of all its fields.
macro_rules! serialize_as_map {
    ($type:ident { $($field:ident),* $(,)? }) => {
        impl serde::Serialize for $type {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                use serde::ser::SerializeMap;
                let Self { $($field),* } = self;
                let count = [$(stringify!($field)),*].len();
                let mut map = serializer.serialize_map(Some(count))?;
                $(map.serialize_entry(stringify!($field), $field)?;)*
                map.end()
            }
        }
    };
}

/// Whether a field has the value that it has when it is missing.
pub(crate) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Implements `Serialize` for a struct that gained the field `added`: by position and without it while it has
/// its default, as earlier releases write it, else as a map from the names of all its fields.
macro_rules! serialize_with_added {
    ($type:ident { $($field:ident),* $(,)? }, $added:ident) => {
        impl serde::Serialize for $type {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                use serde::ser::{SerializeMap, SerializeStruct};
                let Self { $($field,)* $added } = self;
                let count = [$(stringify!($field)),*].len();
                if $crate::map_serde::is_default($added) {
                    let mut fields = serializer.serialize_struct(stringify!($type), count)?;
                    $(fields.serialize_field(stringify!($field), $field)?;)*
                    return fields.end();
                }
                let mut map = serializer.serialize_map(Some(count + 1))?;
                $(map.serialize_entry(stringify!($field), $field)?;)*
                map.serialize_entry(stringify!($added), $added)?;
                map.end()
            }
        }
    };
}

pub(crate) use {serialize_as_map, serialize_with_added};
