"""Baseline: a minimal relay that consists of a cheroot server and a urllib3 client.

``python -m bench.naive ADDRESS PORT SERVER...`` relays to the servers round robin.
"""

import itertools
import sys

import cheroot.wsgi
import urllib3

WORKERS = 64


def application(servers: list[str]):
    http = urllib3.PoolManager(retries=False, maxsize=WORKERS)
    round_robin = itertools.cycle(servers)

    def app(environ, start_response):
        headers = {key[5:]: environ[key] for key in environ if key.startswith("HTTP_")}
        url = f"http://{next(round_robin)}{environ['PATH_INFO']}"
        res = http.request(environ["REQUEST_METHOD"], url, headers=headers, redirect=False)
        start_response(f"{res.status} -", [("Content-Length", str(len(res.data)))])
        return [res.data]

    return app


def main(address: str, port: str, *servers: str) -> None:
    server = cheroot.wsgi.Server(
        (address, int(port)), application(list(servers)), numthreads=WORKERS
    )
    server.keep_alive_conn_limit = 1_000
    server.safe_start()


if __name__ == "__main__":
    main(*sys.argv[1:])
