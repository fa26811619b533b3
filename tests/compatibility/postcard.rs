//! An independent reader of postcard bytes: it knows the positions of fields and variants, and none of the library's types.
use serde_json::{Map, Value, json};

/// Numbers past this are points on the wall clock in microseconds.
const WALL_TIMES: u64 = 1_000_000_000_000_000;

/// What stands at a position.
#[derive(Clone)]
pub enum Shape {
    /// A boolean.
    Flag,
    /// An integer that is the same on every run.
    Number,
    /// An integer that differs from run to run: shown as 0, a time or a number.
    Varying,
    /// An integer drawn by chance.
    Random,
    /// A 64-bit float that is the same on every run.
    Float,
    /// One that differs: shown as 0 or a float.
    VaryingFloat,
    /// Text after its length.
    Text,
    /// Bytes after their length.
    Bytes,
    /// The same where they differ from run to run: only that there are some is shown.
    VaryingBytes,
    /// So many bytes that are the same on every run.
    Array(usize),
    /// So many bytes that differ.
    VaryingArray(usize),
    /// Absent, or there.
    Optional(Box<Shape>),
    /// Items after their number.
    List(Box<Shape>),
    /// Keys that are text, each with its value, after their number.
    TextMap(Box<Shape>),
    /// Fields one after the other.
    Fields(Vec<(&'static str, Shape)>),
    /// One of several, by its position.
    Variants(Vec<(&'static str, Shape)>),
}

impl Shape {
    /// A variant without anything in it.
    pub fn unit() -> Self {
        Self::Fields(Vec::new())
    }

    /// Absent, or this.
    pub fn optional(self) -> Self {
        Self::Optional(Box::new(self))
    }

    /// Any number of this.
    pub fn list(self) -> Self {
        Self::List(Box::new(self))
    }

    /// Reads bytes that hold exactly this.
    ///
    /// # Errors
    /// Where and why they do not.
    pub fn read_all(&self, bytes: &[u8]) -> Result<Value, String> {
        let mut reader = Reader { bytes, at: 0 };
        let value =
            reader.read(self).map_err(|e| format!("at byte {} of {}: {e}", reader.at, bytes.len()))?;
        if reader.at < bytes.len() {
            return Err(format!("{} bytes are left after {value}", bytes.len() - reader.at));
        }
        Ok(value)
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn read(&mut self, shape: &Shape) -> Result<Value, String> {
        Ok(match shape {
            Shape::Flag => json!(self.flag()?),
            Shape::Number => json!(self.number()?),
            Shape::Varying => match self.number()? {
                0 => json!(0),
                WALL_TIMES.. => json!("<time>"),
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
                other => return Err(format!("{other} is none that is written")),
            },
            Shape::Text => json!(self.text()?),
            Shape::Bytes => json!(String::from_utf8_lossy(self.counted()?)),
            Shape::VaryingBytes => json!(if self.counted()?.is_empty() { "" } else { "<bytes>" }),
            Shape::Array(length) => json!(hex(self.take(*length)?)),
            Shape::VaryingArray(length) => {
                self.take(*length)?;
                json!(format!("<{length} bytes>"))
            }
            Shape::Optional(inner) => {
                if self.flag()? {
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
        let end = self.at.checked_add(length).ok_or("a length beyond all bounds")?;
        let taken = self.bytes.get(self.at..end).ok_or("it ends too soon")?;
        self.at = end;
        Ok(taken)
    }

    fn flag(&mut self) -> Result<bool, String> {
        match self.take(1)? {
            [0] => Ok(false),
            [1] => Ok(true),
            other => Err(format!("{other:?} is no boolean")),
        }
    }

    fn number(&mut self) -> Result<u64, String> {
        let mut number = 0;
        for shift in (0..64).step_by(7) {
            let byte = self.take(1)?[0];
            number |= u64::from(byte & 0x7f) << shift;
            if byte & 0x80 == 0 {
                return if byte == 0 && shift > 0 { Err("a padded number".to_owned()) } else { Ok(number) };
            }
        }
        Err("a number without an end".to_owned())
    }

    fn float(&mut self) -> Result<f64, String> {
        let bytes = self.take(8)?;
        Ok(f64::from_le_bytes(bytes.try_into().map_err(|_| "no float")?))
    }

    fn counted(&mut self) -> Result<&'a [u8], String> {
        let length = usize::try_from(self.number()?).map_err(|e| e.to_string())?;
        self.take(length)
    }

    fn text(&mut self) -> Result<String, String> {
        String::from_utf8(self.counted()?.to_vec()).map_err(|e| e.to_string())
    }
}

/// Bytes in hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
