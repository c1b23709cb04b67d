//! The codec by properties: what is written is read back the same over any split of the bytes, and no bytes make it
//! panic or go on past its bound.

use ochrewalk_ajp::packet::{split, Broken, Sender, LARGEST_PACKET, USUAL_PACKET};
use ochrewalk_ajp::request::{self, Attribute, BodyLength, Request, Which};
use ochrewalk_ajp::{packet, reply};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn text() -> impl Strategy<Value = Vec<u8>> {
    vec(any::<u8>(), 0..40)
}

/// Some of the coded names, and any others.
fn name(coded: &'static [&'static str]) -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        proptest::sample::select(coded).prop_map(|n| n.as_bytes().to_vec()),
        "[a-z][a-z0-9-]{0,20}".prop_map(String::into_bytes),
    ]
}

fn attribute() -> impl Strategy<Value = (u8, Vec<u8>, Vec<u8>, u16)> {
    (0u8..12, text(), text(), any::<u16>())
}

#[derive(Clone, Debug)]
struct Parts {
    method: Vec<u8>,
    texts: [Option<Vec<u8>>; 5],
    port: u16,
    ssl: bool,
    headers: Vec<(Vec<u8>, Vec<u8>)>,
    attributes: Vec<(u8, Vec<u8>, Vec<u8>, u16)>,
}

fn parts() -> impl Strategy<Value = Parts> {
    let method = prop_oneof![
        proptest::sample::select(vec!["GET", "POST", "MKACTIVITY", "BREW"])
            .prop_map(|m| m.as_bytes().to_vec()),
        "[A-Z]{1,12}".prop_map(String::into_bytes),
    ];
    let maybe = || proptest::option::of(text());
    let headers = vec((name(&["accept", "content-length", "user-agent", "cookie2"]), text()), 0..12);
    (
        method,
        [maybe(), maybe(), maybe(), maybe(), maybe()],
        any::<u16>(),
        any::<bool>(),
        headers,
        vec(attribute(), 0..8),
    )
        .prop_map(|(method, texts, port, ssl, headers, attributes)| Parts {
            method,
            texts,
            port,
            ssl,
            headers,
            attributes,
        })
}

impl Parts {
    fn request(&self) -> Request<'_> {
        fn attribute((which, one, two, size): &(u8, Vec<u8>, Vec<u8>, u16)) -> Attribute<'_> {
            match Which::ALL.get(usize::from(*which)) {
                Some(Which::StoredMethod) | None if *size % 2 == 0 => Attribute::SslKeySize(*size),
                Some(Which::StoredMethod) | None => Attribute::Named(one, two),
                Some(which) => Attribute::Text(*which, one),
            }
        }
        let text = |at: usize| self.texts[at].as_deref();
        Request {
            method: &self.method,
            protocol: text(0).unwrap_or_default(),
            uri: text(1).unwrap_or_default(),
            remote_addr: text(2),
            remote_host: text(3),
            server_name: text(4),
            server_port: self.port,
            ssl: self.ssl,
            headers: self.headers.iter().map(|(n, v)| (&**n, &**v)).collect(),
            attributes: self.attributes.iter().map(attribute).collect(),
        }
    }
}

/// The same cases every time.
fn fixed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(0x0c4e),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn a_request_is_read_back_as_it_was_written_over_any_split(parts in parts(), cut in any::<prop::sample::Index>()) {
        let request = parts.request();
        let mut bytes = Vec::new();
        request.write(&mut bytes, LARGEST_PACKET).unwrap();
        let at = cut.index(bytes.len());
        prop_assert_eq!(request::read(&bytes[..at], LARGEST_PACKET), Ok(None));
        let taken = bytes.len();
        bytes.extend_from_slice(&[0x12, 0x34, 9]);
        let read = request::read(&bytes, LARGEST_PACKET);
        prop_assert_eq!(read, Ok(Some((request::Message::Request(request), taken))));
    }

    #[test]
    fn an_answer_is_read_back_whole_whatever_the_packet_size(
        status in 100u16..600, words in text(), body in vec(any::<u8>(), 0..20_000), reuse in any::<bool>(),
        headers in vec((name(&["content-type", "status", "servlet-engine"]), text()), 0..6),
        most in 512usize..LARGEST_PACKET,
    ) {
        let head = reply::Head { status, words: &words, headers: headers.iter().map(|(n, v)| (&**n, &**v)).collect() };
        let mut bytes = Vec::new();
        reply::write_answer(&mut bytes, most, head.clone(), &body, reuse).unwrap();
        let (mut at, mut heads, mut got, mut end) = (0, Vec::new(), Vec::new(), None);
        while let Some((message, taken)) = reply::read(&bytes[at..], most).unwrap() {
            prop_assert!(end.is_none() && taken <= most);
            match message {
                reply::Message::Head(head) => heads.push(head),
                reply::Message::Piece(piece) => got.extend_from_slice(piece),
                reply::Message::End { reuse } => end = Some(reuse),
                other => prop_assert!(false, "{:?}", other),
            }
            at += taken;
        }
        prop_assert_eq!((at, heads, got, end), (bytes.len(), vec![head], body, Some(reuse)));
    }

    #[test]
    fn pieces_of_a_body_are_read_back(piece in vec(any::<u8>(), 0..9_000), cut in any::<prop::sample::Index>()) {
        let mut bytes = Vec::new();
        let written = request::write_piece(&mut bytes, USUAL_PACKET, &piece);
        if piece.len() > request::longest_piece(USUAL_PACKET) {
            prop_assert_eq!((written, bytes), (Err(Broken::TooLong), vec![]));
        } else {
            let at = cut.index(bytes.len());
            prop_assert_eq!(request::read_piece(&bytes[..at], USUAL_PACKET), Ok(None));
            prop_assert_eq!(request::read_piece(&bytes, USUAL_PACKET), Ok(Some((&piece[..], bytes.len()))));
        }
    }

    #[test]
    fn no_bytes_do_harm(mut bytes in vec(any::<u8>(), 0..400), kind in any::<u8>(), asker in any::<bool>()) {
        let from = if asker { Sender::Asker } else { Sender::Answerer };
        if bytes.len() >= 5 && kind % 4 > 0 {
            // Most of them look like a packet, so that what is inside is looked at.
            let length = (bytes.len() - 4) as u16;
            bytes[..2].copy_from_slice(&from.magic());
            bytes[2..4].copy_from_slice(&length.to_be_bytes());
            bytes[4] = kind % 12;
        }
        let _ = request::read(&bytes, USUAL_PACKET);
        let _ = request::read_piece(&bytes, USUAL_PACKET);
        let _ = reply::read(&bytes, USUAL_PACKET);
        if let Ok(Some((payload, taken))) = split(&bytes, from, USUAL_PACKET) {
            prop_assert!(taken <= bytes.len() && payload.len() + 4 == taken);
        }
    }
}

#[test]
fn bytes_are_as_the_published_description_has_them() {
    let request = Request {
        method: b"GET",
        protocol: b"HTTP/1.1",
        uri: b"/a",
        server_name: Some(b"h"),
        server_port: 80,
        headers: vec![(b"Host", b"h"), (b"x", b"")],
        attributes: vec![Attribute::Text(Which::Secret, b"s"), Attribute::Named(b"k", b"v")],
        ..Request::default()
    };
    let mut bytes = Vec::new();
    request.write(&mut bytes, USUAL_PACKET).unwrap();
    let mut wanted = vec![0x12, 0x34, 0, 58, 2, 2, 0, 8];
    wanted.extend(
        b"HTTP/1.1\0\0\x02/a\0\xff\xff\xff\xff\0\x01h\0\0\x50\0\0\x02\xa0\x0b\0\x01h\0\0\x01x\0\0\0\0",
    );
    wanted.extend(b"\x0c\0\x01s\0\x0a\0\x01k\0\0\x01v\0\xff");
    wanted[3] = (wanted.len() - 4) as u8;
    assert_eq!(bytes, wanted);
    let mut bytes = Vec::new();
    let head = reply::Head { status: 200, words: b"OK", headers: vec![(b"Content-Type", b"t")] };
    reply::write_answer(&mut bytes, USUAL_PACKET, head, b"hi", true).unwrap();
    reply::Message::GetBody(7).write(&mut bytes, USUAL_PACKET).unwrap();
    reply::Message::CPong.write(&mut bytes, USUAL_PACKET).unwrap();
    let wanted = b"AB\0\x10\x04\0\xc8\0\x02OK\0\0\x01\xa0\x01\0\x01t\0AB\0\x06\x03\0\x02hi\0AB\0\x02\x05\x01AB\0\x03\x06\0\x07AB\0\x01\x09";
    assert_eq!(bytes, wanted);
}

#[test]
fn what_is_wrong_is_told_apart() {
    let packet = |payload: &[u8]| [&[0x12, 0x34, 0, payload.len() as u8][..], payload].concat();
    for (payload, why) in [
        (&b""[..], Broken::Short),
        (&b"\x0a\x01"[..], Broken::Trailing),
        (&b"\x63"[..], Broken::Code),
        (&b"\x02\x00"[..], Broken::Code),
        (&b"\x02\x02\x00\x01aX"[..], Broken::Text),
        (&b"\x02\x02\xa0\x01"[..], Broken::Text),
        (&b"\x02\x02\x00\x09a"[..], Broken::Short),
        (&b"\x02\x02\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\0\0\0\0\xff"[..], Broken::TooMany),
        (
            &b"\x02\x02\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\0\0\0\0\x01\xa0\x0f\xff\xff\xff"[..],
            Broken::Code,
        ),
        // A stored method beside a coded one, and none where one is due.
        (&b"\x02\x02\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\0\0\0\0\0\x0d\0\x01X\0\xff"[..], Broken::Code),
        (&b"\x02\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\0\0\0\0\0\xff"[..], Broken::Code),
    ] {
        assert_eq!(request::read(&packet(payload), USUAL_PACKET), Err(why), "{payload:x?}");
    }
    for (message, code) in
        [(request::Message::CPing, 10), (request::Message::Login, 8), (request::Message::Shutdown, 7)]
    {
        let mut bytes = Vec::new();
        request::write_plain(&mut bytes, &message, USUAL_PACKET).unwrap();
        assert_eq!(bytes, packet(&[code]));
        assert_eq!(request::read(&bytes, USUAL_PACKET), Ok(Some((message, 5))));
    }
    let headers = |list: &[(&'static str, &'static str)]| Request {
        headers: list.iter().map(|(n, v)| (n.as_bytes(), v.as_bytes())).collect(),
        ..Request::default()
    };
    for (list, length) in [
        (&[][..], Some(BodyLength::None)),
        (&[("Content-Length", "0")][..], Some(BodyLength::None)),
        (&[("content-length", "12")][..], Some(BodyLength::Stated(12))),
        (&[("content-length", "99999999999999999999999")][..], Some(BodyLength::Stated(u64::MAX))),
        (&[("content-length", "12"), ("Content-Length", "12")][..], Some(BodyLength::Stated(12))),
        (&[("content-length", "12"), ("Content-Length", "13")][..], None),
        (&[("content-length", "-1")][..], None),
        (&[("content-length", "")][..], None),
        (&[("Transfer-Encoding", "Chunked")][..], Some(BodyLength::Unstated)),
    ] {
        assert_eq!(headers(list).body_length(), length, "{list:?}");
    }
    assert_eq!(packet::header(&headers(&[("X-Id", "a")]).headers, "x-id"), Some(&b"a"[..]));
}
