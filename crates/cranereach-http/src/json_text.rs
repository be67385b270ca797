//! Ends of JSON texts.

/// Mark that a text may begin with, which belongs to no value.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Follows a JSON text and knows whether it is cut off if it ends here.
///
/// Nothing of the text is kept. Brackets are counted, not matched, and values are not parsed: a
/// text that is not JSON counts as cut off only where it could be the beginning of a longer one.
/// A number outside of all brackets may be cut between two digits unnoticed.
///
/// ```
/// use cranereach_http::json_text::JsonText;
///
/// let mut text = JsonText::default();
/// text.follow(br#"{"a": ["]"#);
/// assert!(text.is_cut_off());
/// text.follow(br#"", 1]}"#);
/// assert!(!text.is_cut_off());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct JsonText {
    token: Token,
    /// Number of brackets that are open.
    depth: u64,
    /// Whether a value has begun.
    has_value: bool,
}

/// Where in a token a text is. Inside brackets, only strings matter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Token {
    /// Between two tokens.
    #[default]
    Outside,
    /// Inside a string.
    String,
    /// Inside a string, after a backslash.
    Escape,
    /// Inside a number that is no value of another one; its last byte is a digit or not.
    Number { ends_in_digit: bool },
    /// Inside a literal of which this is missing.
    Literal(&'static [u8]),
    /// Inside bytes that no JSON text has.
    NotJson,
}

impl JsonText {
    /// Follows the next bytes of the text.
    pub fn follow(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while let Some((byte, after)) = rest.split_first() {
            rest = after;
            match self.token {
                Token::String => {
                    let special = after.iter().position(|byte| matches!(byte, b'"' | b'\\'));
                    match byte {
                        b'"' => self.token = Token::Outside,
                        b'\\' => self.token = Token::Escape,
                        _ => rest = &after[special.unwrap_or(after.len())..],
                    }
                }
                Token::Escape => self.token = Token::String,
                Token::Outside => self.begin_token(*byte),
                Token::Number { .. } | Token::Literal(_) => self.continue_word(*byte),
                Token::NotJson => return,
            }
        }
    }

    /// Whether more bytes are needed to make the text whole.
    pub fn is_cut_off(&self) -> bool {
        match self.token {
            Token::NotJson => false,
            Token::Outside => self.depth > 0 || !self.has_value,
            Token::String | Token::Escape => true,
            Token::Number { ends_in_digit } => !ends_in_digit,
            Token::Literal(missing) => !missing.is_empty(),
        }
    }

    /// Takes a byte that comes between two tokens.
    fn begin_token(&mut self, byte: u8) {
        match byte {
            b' ' | b'\t' | b'\r' | b'\n' => return,
            b'"' => self.token = Token::String,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' if self.depth > 0 => self.depth -= 1,
            _ if self.depth > 0 => {}
            _ if !self.has_value && BYTE_ORDER_MARK.contains(&byte) => return,
            b't' => self.token = Token::Literal(b"rue"),
            b'f' => self.token = Token::Literal(b"alse"),
            b'n' => self.token = Token::Literal(b"ull"),
            b'-' | b'0'..=b'9' => {
                let ends_in_digit = byte != b'-';
                self.token = Token::Number { ends_in_digit };
            }
            _ => self.token = Token::NotJson,
        }
        self.has_value = true;
    }

    /// Takes a byte that continues a number or literal, or comes after it.
    fn continue_word(&mut self, byte: u8) {
        self.token = match (self.token, byte) {
            (_, b' ' | b'\t' | b'\r' | b'\n') if !self.is_cut_off() => Token::Outside,
            (Token::Number { .. }, b'0'..=b'9') => Token::Number {
                ends_in_digit: true,
            },
            (Token::Number { .. }, b'.' | b'e' | b'E' | b'+' | b'-') => Token::Number {
                ends_in_digit: false,
            },
            (Token::Literal([next, missing @ ..]), byte) if *next == byte => {
                Token::Literal(missing)
            }
            _ => Token::NotJson,
        };
    }
}
