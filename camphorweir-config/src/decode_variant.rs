//! Decodes enum variants: a string, or a mapping from the variant's name to its value.

use {
    crate::decode::{Failure, NodeDeserializer},
    serde::{
        Deserialize, Deserializer,
        de::{
            DeserializeSeed, EnumAccess, Error, IntoDeserializer, VariantAccess, Visitor,
            value::StrDeserializer,
        },
    },
};

/// A variant written as its name alone.
pub(crate) struct UnitVariant<'t>(pub(crate) &'t str);

impl<'de> EnumAccess<'de> for UnitVariant<'_> {
    type Error = Failure;
    type Variant = Self;

    fn variant_seed<V: DeserializeSeed<'de>>(self, seed: V) -> Result<(V::Value, Self), Failure> {
        let name: StrDeserializer<'_, Failure> = self.0.into_deserializer();
        Ok((seed.deserialize(name)?, self))
    }
}

impl UnitVariant<'_> {
    fn missing_value<T>(&self) -> Result<T, Failure> {
        let text = format!("a value is missing; write it as `{}: VALUE`", self.0);
        Err(Failure::custom(text))
    }
}

impl<'de> VariantAccess<'de> for UnitVariant<'_> {
    type Error = Failure;

    fn unit_variant(self) -> Result<(), Failure> {
        Ok(())
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(self, _seed: T) -> Result<T::Value, Failure> {
        self.missing_value()
    }

    fn tuple_variant<V: Visitor<'de>>(self, _len: usize, _visitor: V) -> Result<V::Value, Failure> {
        self.missing_value()
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        _fields: &'static [&'static str],
        _visitor: V,
    ) -> Result<V::Value, Failure> {
        self.missing_value()
    }
}

/// A variant written as a mapping from its name to its value.
pub(crate) struct MapVariant<'t> {
    pub(crate) name: &'t str,
    pub(crate) item: NodeDeserializer<'t>,
}

impl<'de, 't> EnumAccess<'de> for MapVariant<'t> {
    type Error = Failure;
    type Variant = NodeDeserializer<'t>;

    fn variant_seed<V: DeserializeSeed<'de>>(
        self,
        seed: V,
    ) -> Result<(V::Value, NodeDeserializer<'t>), Failure> {
        let name: StrDeserializer<'_, Failure> = self.name.into_deserializer();
        Ok((seed.deserialize(name)?, self.item))
    }
}

impl<'de> VariantAccess<'de> for NodeDeserializer<'_> {
    type Error = Failure;

    fn unit_variant(self) -> Result<(), Failure> {
        Deserialize::deserialize(self)
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(self, seed: T) -> Result<T::Value, Failure> {
        seed.deserialize(self)
    }

    fn tuple_variant<V: Visitor<'de>>(self, _len: usize, visitor: V) -> Result<V::Value, Failure> {
        self.deserialize_any(visitor)
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Failure> {
        self.deserialize_struct("", fields, visitor)
    }
}
