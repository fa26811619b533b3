//! An independent decoder of postcard bytes by the positions of fields and variants, without the types of the
//! library.
use serde_json::{Map, Value, json};

/// Varying numbers from this one on are wall-clock times in microseconds.
const MIN_WALL_TIME_US: u64 = 1_000_000_000_000_000;

/// The type of the value at a position.
#[derive(Clone)]
pub enum Shape {
    /// A boolean, encoded as one byte.
    Flag,
    /// An integer that is the same in every run.
    Number,
    /// An integer that varies between runs: decoded as 0, `<time>` or `<number>`.
    Varying,
    /// A random integer: decoded as `<random>`.
    Random,
    /// A 64-bit float that is the same in every run.
    Float,
    /// A 64-bit float that varies between runs: decoded as 0, `infinite` or `<float>`.
    VaryingFloat,
    /// UTF-8 text, preceded by its length in bytes.
    Text,
    /// Bytes, preceded by their number.
    Bytes,
    /// Bytes that vary between runs, preceded by their number: decoded as an empty string or `<bytes>`.
    VaryingBytes,
    /// A fixed number of bytes that are the same in every run.
    Array(usize),
    /// A fixed number of bytes that vary between runs.
    VaryingArray(usize),
    /// An optional value, preceded by a byte that says whether it is present.
    Optional(Box<Shape>),
    /// A sequence, preceded by its number of items.
    List(Box<Shape>),
    /// A map with text keys, preceded by its number of entries.
    TextMap(Box<Shape>),
    /// The fields of a struct, in order.
    Fields(Vec<(&'static str, Shape)>),
    /// The variants of an enum, in order.
    Variants(Vec<(&'static str, Shape)>),
}

impl Shape {
    /// Returns the shape of a unit variant, which has no fields.
    pub fn unit() -> Self {
        Self::Fields(Vec::new())
    }

    /// Returns the shape of an `Option` of `self`.
    pub fn optional(self) -> Self {
        Self::Optional(Box::new(self))
    }

    /// Returns the shape of a sequence of `self`.
    pub fn list(self) -> Self {
        Self::List(Box::new(self))
    }

    /// Decodes `bytes`, which must contain exactly one value of this shape.
    ///
    /// # Errors
    /// Returns the position of the first invalid value and the reason, or the number of bytes left over.
    pub fn read_all(&self, bytes: &[u8]) -> Result<Value, String> {
        let mut decoder = Decoder { bytes, at: 0 };
        let value =
            decoder.read(self).map_err(|e| format!("at byte {} of {}: {e}", decoder.at, bytes.len()))?;
        if decoder.at < bytes.len() {
            return Err(format!("{} bytes left over after {value}", bytes.len() - decoder.at));
        }
        Ok(value)
    }
}

struct Decoder<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Decoder<'a> {
    fn read(&mut self, shape: &Shape) -> Result<Value, String> {
        Ok(match shape {
            Shape::Flag => json!(self.boolean()?),
            Shape::Number => json!(self.number()?),
            Shape::Varying => match self.number()? {
                0 => json!(0),
                MIN_WALL_TIME_US.. => json!("<time>"),
                _ => json!("<number>"),
            },
            Shape::Random => {
                self.number()?;
                json!("<random>")
            }
            Shape::Float => json!(self.float()?),
            Shape::VaryingFloat => match self.float()? {
                0.0 => json!(0.0),
                f64::INFINITY => json!("infinite"),
                float if float.is_finite() => json!("<float>"),
                other => return Err(format!("unexpected float {other}")),
            },
            Shape::Text => json!(self.text()?),
            Shape::Bytes => json!(String::from_utf8_lossy(self.length_prefixed()?)),
            Shape::VaryingBytes => json!(if self.length_prefixed()?.is_empty() { "" } else { "<bytes>" }),
            Shape::Array(length) => json!(hex(self.take(*length)?)),
            Shape::VaryingArray(length) => {
                self.take(*length)?;
                json!(format!("<{length} bytes>"))
            }
            Shape::Optional(inner) => {
                if self.boolean()? {
                    json!({"some": self.read(inner)?})
                } else {
                    Value::Null
                }
            }
            Shape::List(inner) => {
                let count = self.number()?;
                (0..count).map(|_| self.read(inner)).collect::<Result<_, _>>()?
            }
            Shape::TextMap(inner) => {
                let count = self.number()?;
                let entries = (0..count).map(|_| Ok((self.text()?, self.read(inner)?)));
                Value::Object(entries.collect::<Result<Map<_, _>, String>>()?)
            }
            Shape::Fields(fields) => {
                let read = fields.iter().map(|(name, inner)| Ok(((*name).to_owned(), self.read(inner)?)));
                Value::Object(read.collect::<Result<Map<_, _>, String>>()?)
            }
            Shape::Variants(variants) => {
                let position = self.number()?;
                let variant = usize::try_from(position).ok().and_then(|position| variants.get(position));
                let (name, inner) = variant.ok_or_else(|| format!("no variant has position {position}"))?;
                json!({ *name: self.read(inner)? })
            }
        })
    }

    fn take(&mut self, length: usize) -> Result<&'a [u8], String> {
        let end = self.at.checked_add(length).ok_or("the length overflows usize")?;
        let taken = self.bytes.get(self.at..end).ok_or("unexpected end of input")?;
        self.at = end;
        Ok(taken)
    }

    fn boolean(&mut self) -> Result<bool, String> {
        match self.take(1)? {
            [0] => Ok(false),
            [1] => Ok(true),
            other => Err(format!("{other:?} is not a boolean, expected 0 or 1")),
        }
    }

    fn number(&mut self) -> Result<u64, String> {
        let mut number = 0;
        for shift in (0..64).step_by(7) {
            let byte = self.take(1)?[0];
            number |= u64::from(byte & 0x7f) << shift;
            if byte & 0x80 == 0 {
                return if byte == 0 && shift > 0 {
                    Err("a varint with a superfluous zero byte".to_owned())
                } else {
                    Ok(number)
                };
            }
        }
        Err("a varint of more than 10 bytes".to_owned())
    }

    fn float(&mut self) -> Result<f64, String> {
        let bytes = self.take(8)?;
        Ok(f64::from_le_bytes(bytes.try_into().map_err(|_| "expected 8 bytes of a float")?))
    }

    fn length_prefixed(&mut self) -> Result<&'a [u8], String> {
        let length = usize::try_from(self.number()?).map_err(|e| e.to_string())?;
        self.take(length)
    }

    fn text(&mut self) -> Result<String, String> {
        String::from_utf8(self.length_prefixed()?.to_vec()).map_err(|e| e.to_string())
    }
}

/// Returns the bytes as lowercase hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
