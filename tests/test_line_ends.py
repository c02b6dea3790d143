"""Tabs at the ends of lines: a head is read alike however it is split.

Guards against a proper request that gets 400 since a tab stands behind its
transfer coding, and against a body or a value that is changed for that.
"""

import httptools

from catkindrift.http1._line_ends import LineEnds

BODY = b'a\t\r\nTransfer-Encoding: chunked\t\r\n\r\n\t'
FIRST = (
    b'POST /x HTTP/1.1\r\nHost: x\t\r\nA: b\tc \t\r\nB:\t\r\nC:\td\r\n'
    b'Content-Length: %d\t\r\n\r\n%b' % (len(BODY), BODY)
)
SECOND = (
    b'POST /y HTTP/1.1\r\nTransfer-Encoding: \tchunked \t \r\n\r\n'
    b'%x\r\n%b\r\n0\r\n\r\n' % (len(BODY), BODY)
)
REFUSED = (
    b'GET /x HTTP/1.1\t\r\nHost: x\r\n\r\n',
    b'GET /x\tHTTP/1.1\r\nHost: x\r\n\r\n',
    b'GET /x HTTP/1.1\r\nHost\t: x\r\n\r\n',
    b'POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\tx\t\r\n\r\n',
    b'POST /x HTTP/1.1\r\nTransfer-Encoding: chunk\ted\r\n\r\n',
)


class Recorder:
    """Keeps what a parser reports."""

    def __init__(self):
        """Create the parser."""
        self.headers = []
        self.bodies = []
        self._is_in_head = False
        self._parser = httptools.HttpRequestParser(self)
        self._ends = LineEnds(self._parser.feed_data, lambda: self._is_in_head)

    def feed(self, parts):
        """Parse bytes, part by part."""
        for part in parts:
            self._ends.feed(part)
        return self

    def on_message_begin(self):
        """Begin a message."""
        self._is_in_head = True
        self.bodies.append(b'')

    def on_header(self, name, found):
        """Keep a header."""
        self.headers.append((name, found.strip(b' \t')))

    def on_headers_complete(self):
        """End the head."""
        self._is_in_head = False

    def on_body(self, body):
        """Keep a part of the body."""
        self.bodies[-1] += body


def is_refused(parts):
    """Return whether the parser refuses the bytes."""
    try:
        Recorder().feed(parts)
    except httptools.HttpParserError:
        return True
    return False


def test_messages_are_read_alike_however_they_are_split():
    """The tab, or the line end behind it, may come with later bytes."""
    sent = FIRST + SECOND + FIRST
    for first, _ in enumerate(sent):
        for second in (first + 1, first + 2, len(sent)):
            parts = sent[:first], sent[first:second], sent[second:]
            found = Recorder().feed(parts)
            assert found.bodies == [BODY, BODY, BODY], (first, second)
            expected = [
                (b'Host', b'x'),
                (b'A', b'b\tc'),
                (b'B', b''),
                (b'C', b'd'),
                (b'Content-Length', b'%d' % len(BODY)),
            ]
            coding = (b'Transfer-Encoding', b'chunked')
            assert found.headers == [*expected, coding, *expected]


def test_tabs_elsewhere_are_still_refused():
    """A request line or a name with a tab can be read in two ways."""
    for request in REFUSED:
        for index, _ in enumerate(request):
            assert is_refused((request[:index], request[index:])), request


def test_long_runs_of_blanks_take_linear_time():
    """A body of tabs must not hold the loop."""
    body = b'\t' * 262_144
    head = b'POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % len(body)
    found = Recorder().feed((head, body))
    assert found.bodies == [body]
