//! Just enough JSON: values are read from requests of the sender, and written by `format!`.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    Array(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a value; `None` if the text is not JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, text: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(text.as_bytes()).then(|| self.at += text.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.eat("null").map(|()| Json::Null),
            b't' => self.eat("true").map(|()| Json::Bool(true)),
            b'f' => self.eat("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.list(b']', Parser::value).map(Json::Array),
            b'{' => self.list(b'}', Parser::field).map(Json::Object),
            _ => self.number(),
        }
    }

    fn field(&mut self) -> Option<(String, Json)> {
        self.space();
        let key = self.string()?;
        self.space();
        self.eat(":")?;
        Some((key, self.value()?))
    }

    fn list<T>(&mut self, end: u8, item: fn(&mut Self) -> Option<T>) -> Option<Vec<T>> {
        self.at += 1;
        let mut items = Vec::new();
        loop {
            self.space();
            if *self.bytes.get(self.at)? == end {
                self.at += 1;
                return Some(items);
            }
            if !items.is_empty() {
                self.eat(",")?;
            }
            items.push(item(self)?);
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat("\"")?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let symbol = char::from_u32(code).unwrap_or('?');
                            text.extend_from_slice(symbol.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                byte => text.push(byte),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let rest = &self.bytes[self.at..];
        let length = rest.iter().take_while(|byte| b"+-.0123456789eE".contains(byte)).count();
        self.at += length;
        std::str::from_utf8(&rest[..length]).ok()?.parse().ok().map(Json::Number)
    }
}
