"""Small JSON calls to listeners on loopback."""

import http.client
import json

TIMEOUT_S = 10


def call(method, address, target, body=None, headers=None):
    """Returns (status, parsed body or None)."""
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        payload = None if body is None else json.dumps(body)
        connection.request(method, target, payload, headers or {})
        response = connection.getresponse()
        text = response.read()
    finally:
        connection.close()
    try:
        return response.status, json.loads(text) if text else None
    except ValueError:
        return response.status, None
