#!/usr/bin/env python3
"""A toy engine on 127.0.0.1:9101, or on HOST:PORT if given: responds to every statement with two rows after 50 ms."""
import socketserver
import sys
import time


class Connection(socketserver.StreamRequestHandler):
    def handle(self):
        for line in self.rfile:
            words = line.decode().split()
            if words[0] == "serve":
                statement = self.rfile.read(int(words[3]) + 2)[:-2].decode()
                print(words[2], statement, flush=True)
                time.sleep(0.05)
                body = "monday\t3\tpaid\ntuesday\t5\tpaid\n".encode()
                fields = "total=1,elapsed=50,rss=8,use=q:0;rif:1;x0:0.1"
                self.wfile.write(f"{words[1]} HIT {fields} {len(body)}\r\n".encode() + body + b"\r\n")
            elif words[0] == "health":
                self.wfile.write(f"{words[1]} PONG - 0\r\n\r\n".encode())


socketserver.ThreadingTCPServer.allow_reuse_address = True
host, port = (sys.argv[1] if len(sys.argv) > 1 else "127.0.0.1:9101").split(":")
with socketserver.ThreadingTCPServer((host, int(port)), Connection) as server:
    server.serve_forever()
