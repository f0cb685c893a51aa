//! Header fields that determine the length of the body and the reuse of the connection.

use bytes::Bytes;

use crate::Result;
use crate::error::Protocol;

/// Framing of a message's body and use of its connection, as the header states them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Head {
    pub(super) framing: Framing,
    /// The sender asked to close the connection after this exchange.
    pub(super) closes: bool,
    /// The sender waits for status 100 before it sends the body.
    pub(super) expects_continue: bool,
}

/// Way in which the end of a body is found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Framing {
    /// Neither a length nor chunks: a request has no body, and a response ends with
    /// its connection.
    #[default]
    Absent,
    /// Length in bytes.
    Length(u64),
    /// Chunks that each state their length.
    Chunked,
}

impl Head {
    /// Parses a complete header. Rejects one that receivers could interpret in different
    /// ways, which would allow request smuggling.
    pub(super) fn parse(text: &[u8]) -> Result<Self> {
        let text = std::str::from_utf8(text).map_err(|_| Protocol::Head)?;
        let text = text.strip_suffix("\r\n\r\n").ok_or(Protocol::Head)?;
        if !text.is_ascii() || text.contains('\0') {
            return Err(Protocol::Head.into());
        }
        let mut head = Self::default();
        for line in text.split('\n').skip(1) {
            head.parse_field(line)?;
        }
        Ok(head)
    }

    fn parse_field(&mut self, line: &str) -> Result<()> {
        let line = line.strip_suffix('\r').unwrap_or(line);
        let (name, value) = line.split_once(':').ok_or(Protocol::Head)?;
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => self.parse_length(value),
            "transfer-encoding" => self.parse_encoding(value),
            "connection" => {
                self.closes |= value.to_ascii_lowercase().contains("close");
                Ok(())
            }
            "expect" => {
                self.expects_continue = true;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn parse_length(&mut self, value: &str) -> Result<()> {
        let is_number = value.bytes().all(|b| b.is_ascii_digit());
        if self.framing != Framing::Absent || !is_number {
            return Err(Protocol::Head.into());
        }
        let length = value.parse().map_err(|_| Protocol::Head)?;
        self.framing = Framing::Length(length);
        Ok(())
    }

    fn parse_encoding(&mut self, value: &str) -> Result<()> {
        if self.framing != Framing::Absent || !value.eq_ignore_ascii_case("chunked") {
            return Err(Protocol::Head.into());
        }
        self.framing = Framing::Chunked;
        Ok(())
    }
}

/// Returns a header without its `Expect` field, which the connection handles itself.
pub(super) fn without_expect(text: &Bytes) -> Bytes {
    let lines = text.split_inclusive(|b| *b == b'\n');
    let is_expect = |line: &[u8]| line.to_ascii_lowercase().starts_with(b"expect:");
    let kept: Vec<u8> = lines.filter(|l| !is_expect(l)).flatten().copied().collect();
    kept.into()
}
