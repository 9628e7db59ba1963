//! Converts whole messages between bytes and the types of `http-types`.

use std::{str::FromStr, time::Duration};

use http_types::{
    Method, Request, Response, StatusCode, Url,
    headers::{HeaderName, HeaderValue},
};

use super::head::{Head, MAX_HEADERS, MessageError};

/// Path and query of a request, byte for byte as they were received. The
/// request's parsed URL may normalise them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target(pub String);

/// Status and headers of a response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Names and values of the headers, in the order received.
    pub headers: Vec<(String, String)>,
}

impl ResponseHead {
    /// Returns the last value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter().rev();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the timeout in the `keep-alive` header: for how long the sender keeps
    /// an idle connection open.
    #[must_use]
    pub fn keep_alive(&self) -> Option<Duration> {
        let mut fields = self.header("keep-alive")?.split(',').map(str::trim);
        let timeout = fields.find_map(|field| field.strip_prefix("timeout="))?;
        timeout.parse().ok().map(Duration::from_secs)
    }
}

/// Returns the body of a whole message whose chunks are decoded. It keeps the message's
/// buffer, without spare room.
pub(super) fn body(mut message: Vec<u8>, head: Head) -> Vec<u8> {
    message.drain(..head.size);
    message.shrink_to_fit();
    message
}

/// Parses a whole request, and stores its [`Target`] as an extension.
pub(super) fn request(message: Vec<u8>, head: Head) -> Result<Request, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed.parse(&message[..head.size]).map_err(syntax_error)?;
    let method = parsed.method.unwrap_or_default();
    let method = Method::from_str(method)
        .map_err(|_| MessageError::Syntax(format!("method `{method}` is not known")))?;
    let target = parsed.path.unwrap_or_default().to_owned();
    let host = parsed
        .headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case("host"));
    let host = host
        .map(|h| String::from_utf8_lossy(h.value))
        .unwrap_or_default();
    let url = Url::parse(&format!("http://{host}{target}"))
        .map_err(|e| MessageError::Header(format!("host `{host}` makes no URL: {e}")))?;
    let mut request = Request::new(method, url);
    for header in parsed.headers.iter() {
        let (name, value) = convert_header(header)?;
        request.append_header(name, value);
    }
    let media: Vec<HeaderValue> = request
        .header("content-type")
        .map(|values| values.iter().cloned().collect())
        .unwrap_or_default();
    request.set_body(body(message, head));
    // Setting the body adds a media type that the sender has not given.
    request.remove_header("content-type");
    for value in media {
        request.append_header("content-type", value);
    }
    request.ext_mut().insert(Target(target));
    Ok(request)
}

/// Parses the head of a response.
pub(super) fn response_head(message: &[u8], head: Head) -> Result<ResponseHead, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    parsed.parse(&message[..head.size]).map_err(syntax_error)?;
    let headers = parsed.headers.iter().map(|header| {
        let value = String::from_utf8_lossy(header.value);
        (header.name.to_owned(), value.into_owned())
    });
    Ok(ResponseHead {
        status: parsed.code.unwrap_or_default(),
        headers: headers.collect(),
    })
}

/// Builds a response from its head and body. A header that is not ASCII is left out.
pub(super) fn response(head: &ResponseHead, body: Vec<u8>) -> Result<Response, MessageError> {
    let mut response = Response::new(status(head.status)?);
    response.set_body(body);
    response.remove_header("content-type");
    for (name, value) in &head.headers {
        let header = httparse::Header {
            name,
            value: value.as_bytes(),
        };
        if let Ok((name, value)) = convert_header(&header) {
            response.append_header(name, value);
        }
    }
    Ok(response)
}

/// Converts the status of a response.
///
/// # Errors
///
/// Returns an error for a status that no registry lists: a [`Response`] cannot have it.
pub fn status(code: u16) -> Result<StatusCode, MessageError> {
    StatusCode::try_from(code)
        .map_err(|_| MessageError::Syntax(format!("status {code} is not known")))
}

/// Returns whether a text can be the value of a header that [`set_header`] sets: only
/// visible ASCII characters, spaces and tabs.
#[must_use]
pub fn is_header_value(text: &str) -> bool {
    text.bytes().all(|byte| matches!(byte, b'\t' | b' '..=b'~'))
}

/// Sets a header of a response, unless the text is empty.
///
/// # Errors
///
/// Returns an error if the text cannot be the value of a header, see
/// [`is_header_value`].
pub fn set_header(
    response: &mut Response,
    name: &'static str,
    text: &str,
) -> Result<(), MessageError> {
    if !is_header_value(text) {
        let message = format!("header {name} is not visible ASCII; send only such characters");
        return Err(MessageError::Header(message));
    }
    if !text.is_empty() {
        response.insert_header(name, text);
    }
    Ok(())
}

fn convert_header(
    header: &httparse::Header<'_>,
) -> Result<(HeaderName, HeaderValue), MessageError> {
    let not_ascii = |_| MessageError::Header(format!("header {} is not ASCII", header.name));
    let name = HeaderName::from_str(header.name).map_err(not_ascii)?;
    let value = HeaderValue::from_bytes(header.value.to_vec()).map_err(not_ascii)?;
    Ok((name, value))
}

fn syntax_error(error: httparse::Error) -> MessageError {
    MessageError::Syntax(error.to_string())
}
