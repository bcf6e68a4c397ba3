/*
 * Answers as a server may send them, valid or not by RFC 9110 and RFC 9112. Both HTTP clients are
 * tested with them. "X-Id: a" names the request that the valid ones answer.
 */
#ifndef TESTS_UNIT_ANSWER_CASES_H
#define TESTS_UNIT_ANSWER_CASES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct answer_case {
	const char *name;
	/** What the server sends before it closes the connection; may hold NUL bytes. */
	const char *bytes;
	size_t len;
	/** 0: the bytes are no answer. */
	uint16_t status;
	/** Body as the caller is to get it. */
	const char *body;
	/** The answer to HEAD. */
	bool head;
	/** The end of the connection ends the body. */
	bool by_close;
};

#define ANSWER_BYTES(text) .bytes = (text), .len = sizeof(text) - 1
#define INVALID(label, text)                        \
	{                                           \
		.name = (label), ANSWER_BYTES(text) \
	}
#define VALID(label, text, code, content)                                                \
	{                                                                                \
		.name = (label), ANSWER_BYTES(text), .status = (code), .body = (content) \
	}
#define VALID_HEAD(label, text, code)                                                           \
	{                                                                                       \
		.name = (label), ANSWER_BYTES(text), .status = (code), .body = "", .head = true \
	}
#define VALID_BY_CLOSE(label, text, code, content)                                        \
	{                                                                                 \
		.name = (label), ANSWER_BYTES(text), .status = (code), .body = (content), \
		.by_close = true                                                          \
	}

/* The rest of an answer behind its status line, and behind a field. */
#define REST "X-Id: a\r\nContent-Length: 2\r\n\r\nok"
#define WITH_STATUS(line) line "\r\n" REST
#define WITH_FIELD(line) "HTTP/1.1 200 OK\r\nX-Id: a\r\n" line "Content-Length: 2\r\n\r\nok"
#define WITH_BODY(rest) "HTTP/1.1 200 OK\r\nX-Id: a\r\n" rest
#define CHUNKED(rest) WITH_BODY("Transfer-Encoding: chunked\r\n\r\n" rest)

static const struct answer_case answer_cases[] = {
	/* Status line. */
	INVALID("status 000", WITH_STATUS("HTTP/1.1 000 OK")),
	INVALID("status 001", WITH_STATUS("HTTP/1.1 001 OK")),
	INVALID("status 099", WITH_STATUS("HTTP/1.1 099 OK")),
	INVALID("status 600", WITH_STATUS("HTTP/1.1 600 OK")),
	INVALID("status 999", WITH_STATUS("HTTP/1.1 999 OK")),
	INVALID("status of one digit", WITH_STATUS("HTTP/1.1 2 OK")),
	INVALID("status of two digits", WITH_STATUS("HTTP/1.1 20 OK")),
	INVALID("status of four digits", WITH_STATUS("HTTP/1.1 0200 OK")),
	INVALID("status 2000", WITH_STATUS("HTTP/1.1 2000 OK")),
	INVALID("signed status", WITH_STATUS("HTTP/1.1 +200 OK")),
	INVALID("status with a letter", WITH_STATUS("HTTP/1.1 20x OK")),
	INVALID("hexadecimal status", WITH_STATUS("HTTP/1.1 0x2 OK")),
	INVALID("no status", WITH_STATUS("HTTP/1.1 OK")),
	INVALID("no status at all", WITH_STATUS("HTTP/1.1 ")),
	INVALID("no space behind the status", WITH_STATUS("HTTP/1.1 200OK")),
	INVALID("status line ends with the status", WITH_STATUS("HTTP/1.1 200")),
	INVALID("two spaces before the status", WITH_STATUS("HTTP/1.1  200 OK")),
	INVALID("tab before the status", WITH_STATUS("HTTP/1.1\t200 OK")),
	INVALID("tab behind the status", WITH_STATUS("HTTP/1.1 200\tOK")),
	INVALID("no space before the status", WITH_STATUS("HTTP/1.1200 OK")),
	INVALID("version 0.9", WITH_STATUS("HTTP/0.9 200 OK")),
	INVALID("version 2.0", WITH_STATUS("HTTP/2.0 200 OK")),
	INVALID("version without minor", WITH_STATUS("HTTP/1 200 OK")),
	INVALID("version 1.10", WITH_STATUS("HTTP/1.10 200 OK")),
	INVALID("protocol in lower case", WITH_STATUS("http/1.1 200 OK")),
	INVALID("other protocol", WITH_STATUS("ICY 200 OK")),
	INVALID("blank before the protocol", WITH_STATUS(" HTTP/1.1 200 OK")),
	INVALID("empty line before the answer", WITH_STATUS("\r\nHTTP/1.1 200 OK")),
	INVALID("control byte in the reason", WITH_STATUS("HTTP/1.1 200 O\x01K")),
	INVALID("NUL in the reason", WITH_STATUS("HTTP/1.1 200 O\0K")),
	INVALID("DEL in the reason", WITH_STATUS("HTTP/1.1 200 O\x7fK")),
	INVALID("bare CR in the reason", WITH_STATUS("HTTP/1.1 200 O\rK")),
	INVALID("status line ends with LF", "HTTP/1.1 200 OK\n" REST),
	INVALID("status line ends with CR", "HTTP/1.1 200 OK\r" REST),
	INVALID("status line ends with CR and another byte", "HTTP/1.1 200 OK\rX" REST),
	INVALID("switch of protocols that nobody asked for",
		"HTTP/1.1 101 Switching\r\n\r\n" WITH_STATUS("HTTP/1.1 200 OK")),
	VALID("status 100 to 199 before the answer",
	      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
	      "</x>\r\n\r\n" WITH_STATUS("HTTP/1.1 200 OK"),
	      200, "ok"),
	VALID("status 299", WITH_STATUS("HTTP/1.1 299 Odd"), 299, "ok"),
	VALID("status 418", WITH_STATUS("HTTP/1.1 418 I'm a teapot"), 418, "ok"),
	VALID("status 599", WITH_STATUS("HTTP/1.1 599 Odd"), 599, "ok"),
	VALID("empty reason", WITH_STATUS("HTTP/1.1 200 "), 200, "ok"),
	VALID("reason with tab and bytes beyond ASCII", WITH_STATUS("HTTP/1.1 200 \t\xc3\xa4 \xff"),
	      200, "ok"),
	VALID("version 1.0", WITH_STATUS("HTTP/1.0 200 OK"), 200, "ok"),
	VALID("later minor version", WITH_STATUS("HTTP/1.2 200 OK"), 200, "ok"),

	/* Field lines. */
	INVALID("blank in a name", WITH_FIELD("X Field: v\r\n")),
	INVALID("blank before the colon", WITH_FIELD("X-Field : v\r\n")),
	INVALID("tab before the colon", WITH_FIELD("X-Field\t: v\r\n")),
	INVALID("tab in a name", WITH_FIELD("X\tField: v\r\n")),
	INVALID("control byte in a name", WITH_FIELD("X\x01"
						     "Field: v\r\n")),
	INVALID("NUL in a name", WITH_FIELD("X\0Field: v\r\n")),
	INVALID("DEL in a name", WITH_FIELD("X\x7f"
					    "Field: v\r\n")),
	INVALID("byte beyond ASCII in a name", WITH_FIELD("X\xe4: v\r\n")),
	INVALID("control byte before a name", WITH_FIELD("\x01X-Field: v\r\n")),
	INVALID("separator in a name", WITH_FIELD("X(Field): v\r\n")),
	INVALID("empty name", WITH_FIELD(": v\r\n")),
	INVALID("no colon", WITH_FIELD("X-Field\r\n")),
	INVALID("blank before the first field", "HTTP/1.1 200 OK\r\n " REST),
	INVALID("folded value", WITH_FIELD("X-Field: v\r\n w\r\n")),
	INVALID("value folded with a tab", WITH_FIELD("X-Field: v\r\n\tw\r\n")),
	INVALID("blank in the name of the length",
		WITH_BODY("Content-Length : 2\r\nX: y\r\n\r\nok")),
	INVALID("blank line in front of the length", WITH_BODY(" \r\nContent-Length: 2\r\n\r\nok")),
	INVALID("CR before the length", WITH_BODY("\rContent-Length: 2\r\n\r\nok")),
	INVALID("control byte in a value", WITH_FIELD("X-Field: a\x01"
						      "b\r\n")),
	INVALID("control byte begins a value", WITH_FIELD("X-Field: \x01"
							  "b\r\n")),
	INVALID("NUL in a value", WITH_FIELD("X-Field: a\0b\r\n")),
	INVALID("NUL begins a value", WITH_FIELD("X-Field:\0b\r\n")),
	INVALID("DEL in a value", WITH_FIELD("X-Field: a\x7f\r\n")),
	INVALID("bare CR in a value", WITH_FIELD("X-Field: a\rb\r\n")),
	INVALID("two CR behind a value", WITH_FIELD("X-Field: a\r\r\n")),
	INVALID("field line ends with LF", WITH_FIELD("X-Field: a\n")),
	INVALID("head ends with LF", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: a\r\n\nok"),
	INVALID("head ends with CR and another byte",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: a\r\n\rok"),
	VALID("name of all token characters", WITH_FIELD("!#$%&'*+-.^_`|~09azAZ: v\r\n"), 200,
	      "ok"),
	VALID("empty value", WITH_FIELD("X-Field:\r\n"), 200, "ok"),
	VALID("blank value", WITH_FIELD("X-Field: \t \r\n"), 200, "ok"),
	VALID("value with tab and bytes beyond ASCII", WITH_FIELD("X-Field: \xc3\xa4\t\xff\r\n"),
	      200, "ok"),
	VALID("blanks around the id",
	      "HTTP/1.1 200 OK\r\nX-Id: \t a \t\r\nContent-Length: 2\r\n\r\nok", 200, "ok"),
	VALID("no blank before the id", "HTTP/1.1 200 OK\r\nX-Id:a\r\nContent-Length:2\r\n\r\nok",
	      200, "ok"),
	VALID("fields that an answer need not have",
	      WITH_FIELD("Upgrade: h2c\r\nConnection: upgrade, keep-alive\r\nTrailer: X\r\n"), 200,
	      "ok"),

	/* Framing. */
	INVALID("head breaks off in a name", WITH_BODY("Content-Le")),
	INVALID("head breaks off in the length", WITH_BODY("Content-Length: 2")),
	INVALID("head breaks off behind a field", WITH_BODY("X-Field: v\r\n")),
	INVALID("head breaks off before its last LF", WITH_BODY("Content-Length: 0\r\n\r")),
	INVALID("head breaks off behind the status line", "HTTP/1.1 200 OK\r\n"),
	INVALID("head breaks off in the status line", "HTTP/1.1 200 O"),
	INVALID("body breaks off", WITH_BODY("Content-Length: 3\r\n\r\nok")),
	INVALID("signed length", WITH_BODY("Content-Length: +2\r\n\r\nok")),
	INVALID("negative length", WITH_BODY("Content-Length: -2\r\n\r\nok")),
	INVALID("hexadecimal length", WITH_BODY("Content-Length: 0x2\r\n\r\nok")),
	INVALID("length with a fraction", WITH_BODY("Content-Length: 2.0\r\n\r\nok")),
	INVALID("empty length", WITH_BODY("Content-Length:\r\n\r\nok")),
	INVALID("length with a blank", WITH_BODY("Content-Length: 2 2\r\n\r\nok")),
	INVALID("length beyond 64 bits",
		WITH_BODY("Content-Length: 18446744073709551618\r\n\r\nok")),
	INVALID("two lengths", WITH_BODY("Content-Length: 2\r\nContent-Length: 3\r\n\r\nok")),
	INVALID("list of different lengths", WITH_BODY("Content-Length: 2, 3\r\n\r\nok")),
	INVALID("length beside chunks", WITH_BODY("Content-Length: 2\r\nTransfer-Encoding: "
						  "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")),
	INVALID("chunks beside a length", WITH_BODY("Transfer-Encoding: chunked\r\nContent-Length: "
						    "2\r\n\r\n2\r\nok\r\n0\r\n\r\n")),
	INVALID("chunks in version 1.0",
		"HTTP/1.0 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n"
		"\r\n2\r\nok\r\n0\r\n\r\n"),
	INVALID("coding that nobody asked for", WITH_BODY("Transfer-Encoding: gzip\r\n\r\nok")),
	INVALID("coding below the chunks",
		WITH_BODY("Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")),
	INVALID("chunks are not the last coding",
		WITH_BODY("Transfer-Encoding: chunked, gzip\r\n\r\n2\r\nok\r\n0\r\n\r\n")),
	INVALID("chunked twice",
		WITH_BODY("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
			  "2\r\nok\r\n0\r\n\r\n")),
	INVALID("unknown coding", WITH_BODY("Transfer-Encoding: xchunked\r\n\r\nok")),
	INVALID("empty coding", WITH_BODY("Transfer-Encoding:\r\n\r\nok")),
	INVALID("chunk without a size", CHUNKED("\r\nok\r\n0\r\n\r\n")),
	INVALID("chunk size that is no number", CHUNKED("x\r\nok\r\n0\r\n\r\n")),
	INVALID("chunk size with a prefix", CHUNKED("0x2\r\nok\r\n0\r\n\r\n")),
	INVALID("negative chunk size", CHUNKED("-2\r\nok\r\n0\r\n\r\n")),
	INVALID("blank before a chunk size", CHUNKED(" 2\r\nok\r\n0\r\n\r\n")),
	INVALID("bytes behind a chunk size", CHUNKED("2 x\r\nok\r\n0\r\n\r\n")),
	INVALID("blank behind a chunk size", CHUNKED("2 \r\nok\r\n0\r\n\r\n")),
	INVALID("chunk size beyond 64 bits", CHUNKED("10000000000000002\r\nok\r\n0\r\n\r\n")),
	INVALID("chunk size ends with LF", CHUNKED("2\nok\r\n0\r\n\r\n")),
	INVALID("chunk size ends with CR and another byte", CHUNKED("2\rXok\r\n0\r\n\r\n")),
	INVALID("control byte in a chunk extension", CHUNKED("2;a\x01=b\r\nok\r\n0\r\n\r\n")),
	INVALID("LF in a chunk extension", CHUNKED("2;a\nok\r\n0\r\n\r\n")),
	INVALID("chunk extension without a name", CHUNKED("2;\r\nok\r\n0\r\n\r\n")),
	INVALID("chunk extension without a value", CHUNKED("2;a=\r\nok\r\n0\r\n\r\n")),
	INVALID("chunk extension with an open quote", CHUNKED("2;a=\"b\r\nok\r\n0\r\n\r\n")),
	INVALID("chunk longer than its size", CHUNKED("2\r\nokay\r\n0\r\n\r\n")),
	INVALID("chunk ends with other bytes", CHUNKED("2\r\nokXY0\r\n\r\n")),
	INVALID("chunk ends with LF", CHUNKED("2\r\nok\n0\r\n\r\n")),
	INVALID("chunk ends with CR and another byte", CHUNKED("2\r\nok\rX0\r\n\r\n")),
	INVALID("chunks break off", CHUNKED("2\r\nok\r\n")),
	INVALID("last chunk breaks off", CHUNKED("2\r\nok\r\n0\r\n")),
	INVALID("trailers break off", CHUNKED("2\r\nok\r\n0\r\nX-T: v\r\n")),
	INVALID("blank in the name of a trailer", CHUNKED("2\r\nok\r\n0\r\nX T: v\r\n\r\n")),
	INVALID("control byte in the name of a trailer",
		CHUNKED("2\r\nok\r\n0\r\nX\x01T: v\r\n\r\n")),
	INVALID("control byte begins the value of a trailer",
		CHUNKED("2\r\nok\r\n0\r\nX-T: \x01\r\n\r\n")),
	INVALID("folded trailer", CHUNKED("2\r\nok\r\n0\r\nX-T: v\r\n w\r\n\r\n")),
	INVALID("trailers end with CR and another byte", CHUNKED("2\r\nok\r\n0\r\n\rX")),
	VALID("no body", WITH_BODY("Content-Length: 0\r\n\r\n"), 200, ""),
	VALID("length with zeros in front", WITH_BODY("Content-Length: 002\r\n\r\nok"), 200, "ok"),
	VALID("blanks around the length", WITH_BODY("Content-Length: \t 2  \r\n\r\nok"), 200, "ok"),
	VALID("tab behind the length", WITH_BODY("Content-Length: 2\t\r\n\r\nok"), 200, "ok"),
	VALID("tab behind the coding",
	      WITH_BODY("Transfer-Encoding: chunked \t\r\n\r\n2\r\nok\r\n0\r\n\r\n"), 200, "ok"),
	VALID("chunks", CHUNKED("2\r\nok\r\n0\r\n\r\n"), 200, "ok"),
	VALID("only the last chunk", CHUNKED("0\r\n\r\n"), 200, ""),
	VALID("coding in capitals, blanks around it",
	      WITH_BODY("transfer-encoding:  CHUNKED \r\n\r\n2\r\nok\r\n0\r\n\r\n"), 200, "ok"),
	VALID("chunk sizes with zeros in front", CHUNKED("0002\r\nok\r\n000\r\n\r\n"), 200, "ok"),
	VALID("chunk sizes of both cases",
	      CHUNKED("A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n"), 200,
	      "01234567890123456789"),
	VALID("chunk extensions",
	      CHUNKED("1;a\r\no\r\n1 ; b = c;d=\"\\\"; \t\xff\" ;e\r\nk\r\n"
		      "0;f=\"\"\r\n\r\n"),
	      200, "ok"),
	VALID("trailers", CHUNKED("2\r\nok\r\n0\r\nX-T: v\r\nX-U:\r\n\r\n"), 200, "ok"),
	VALID("204", "HTTP/1.1 204 No Content\r\nX-Id: a\r\n\r\n", 204, ""),
	VALID("204 with a length",
	      "HTTP/1.1 204 No Content\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n", 204, ""),
	VALID("204 with the length of what was not sent",
	      "HTTP/1.1 204 No Content\r\nX-Id: a\r\nContent-Length: 5\r\n\r\n", 204, ""),
	VALID("interim answer with a length",
	      "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\n" WITH_STATUS("HTTP/1.1 200 OK"),
	      200, "ok"),
	VALID("304 with the length of what was not sent",
	      "HTTP/1.1 304 Not Modified\r\nX-Id: a\r\nContent-Length: 1234\r\nETag: \"e\"\r\n\r\n",
	      304, ""),
	VALID("304 with the coding of what was not sent",
	      "HTTP/1.1 304 Not Modified\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n", 304,
	      ""),
	VALID("bytes behind the answer", WITH_STATUS("HTTP/1.1 200 OK") "xyz", 200, "ok"),
	VALID_HEAD("answer to HEAD with a length", WITH_BODY("Content-Length: 1234\r\n\r\n"), 200),
	VALID_HEAD("answer to HEAD with a coding", WITH_BODY("Transfer-Encoding: chunked\r\n\r\n"),
		   200),
	VALID_HEAD("answer to HEAD without either", WITH_BODY("\r\n"), 200),
	VALID_BY_CLOSE("body that the end of the connection ends", WITH_BODY("\r\nok"), 200, "ok"),
	VALID_BY_CLOSE("version 1.0, body that the end of the connection ends",
		       "HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\nok", 200, "ok"),
};

#define N_ANSWER_CASES (sizeof(answer_cases) / sizeof(answer_cases[0]))

#endif
