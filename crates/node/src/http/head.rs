//! Start of a message: how long its body is and what becomes of the connection.

use bytes::Bytes;

use crate::Result;
use crate::error::Protocol;

/// What the header of a message says about its body and its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Head {
    pub(super) framing: Framing,
    /// The connection ends after this message.
    pub(super) closes: bool,
    /// The sender waits for an interim answer before it sends the body.
    pub(super) expects_continue: bool,
}

/// Length of a body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Framing {
    /// No length is given.
    #[default]
    Absent,
    /// A number of bytes.
    Length(u64),
    /// Chunks with lengths of their own.
    Chunked,
}

impl Head {
    /// Reads the lines of a whole header, and refuses what receivers could read
    /// in two ways.
    pub(super) fn parse(text: &[u8]) -> Result<Self> {
        let text = std::str::from_utf8(text).map_err(|_| Protocol::Head)?;
        let text = text.strip_suffix("\r\n\r\n").ok_or(Protocol::Head)?;
        if !text.is_ascii() || text.contains('\0') {
            return Err(Protocol::Head.into());
        }
        let mut head = Self::default();
        for line in text.split('\n').skip(1) {
            head.take_line(line)?;
        }
        Ok(head)
    }

    fn take_line(&mut self, line: &str) -> Result<()> {
        let line = line.strip_suffix('\r').unwrap_or(line);
        let (name, value) = line.split_once(':').ok_or(Protocol::Head)?;
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => self.take_length(value),
            "transfer-encoding" => self.take_encoding(value),
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

    fn take_length(&mut self, value: &str) -> Result<()> {
        let is_number = value.bytes().all(|b| b.is_ascii_digit());
        if self.framing != Framing::Absent || !is_number {
            return Err(Protocol::Head.into());
        }
        let length = value.parse().map_err(|_| Protocol::Head)?;
        self.framing = Framing::Length(length);
        Ok(())
    }

    fn take_encoding(&mut self, value: &str) -> Result<()> {
        if self.framing != Framing::Absent || !value.eq_ignore_ascii_case("chunked") {
            return Err(Protocol::Head.into());
        }
        self.framing = Framing::Chunked;
        Ok(())
    }
}

/// Returns a header without its `Expect` field, which was acted on already.
pub(super) fn without_expect(text: &Bytes) -> Bytes {
    let lines = text.split_inclusive(|b| *b == b'\n');
    let is_expect = |line: &[u8]| line.to_ascii_lowercase().starts_with(b"expect:");
    let kept: Vec<u8> = lines.filter(|l| !is_expect(l)).flatten().copied().collect();
    kept.into()
}
