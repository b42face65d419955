"""A settings file of the platform with only the required fields."""

SETTINGS = """node=g1
zone=zone-a
ip=127.0.0.1
listen.front=127.0.0.1:1
listen.ready=127.0.0.1:2
internal_ports=3,4
platform.addr=127.0.0.1:5
"""
