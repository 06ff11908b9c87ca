"""Assembly of the platform adapter."""

from ..coordination import EngineProtocol
from ..entry import PlatformProtocol, boot_clock
from ..http import HttpClient
from ..objects import MonitoredStore
from .config_codec import decode_config
from .names import CONFIG_KEY, CONFIG_PREFIX, ORDER_PATH, READY_PATH, REPORT_PATH, UPSTREAMS_PREFIX
from .object_store import PlatformObjectStore
from .order_codec import decode_order_answer, encode_order, order_headers
from .request_codec import decode_answer, decode_request, encode_request
from .upstream_codec import decode_entry, decode_report

__all__ = ["make_platform_protocol"]


def make_platform_protocol(client: HttpClient, object_store: str) -> PlatformProtocol:
    """Return the codecs, paths and object keys of the platform.

    ``object_store`` is the address ``ip:port`` of the platform's object store.
    """
    return PlatformProtocol(
        object_store=MonitoredStore(PlatformObjectStore(client, object_store), boot_clock),
        decode_request=decode_request,
        encode_request=encode_request,
        decode_answer=decode_answer,
        decode_config=decode_config,
        decode_entry=decode_entry,
        engines=EngineProtocol(
            encode_order=encode_order,
            order_headers=order_headers,
            decode_order_answer=decode_order_answer,
            decode_report=decode_report,
            order_path=ORDER_PATH,
            report_path=REPORT_PATH,
        ),
        ready_path=READY_PATH,
        config_prefix=CONFIG_PREFIX,
        config_key=CONFIG_KEY,
        upstreams_prefix=UPSTREAMS_PREFIX,
    )
