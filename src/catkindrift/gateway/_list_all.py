"""Paginated listing of all objects of a kind."""

from catkindrift.platform import StoreClient, StorePage


async def list_all(
    client: StoreClient,
    kind: str,
    timeout_s: float,
) -> StorePage:
    """Return all objects of a kind as one page.

    The revision is that of the first page, so that a watch from there includes
    changes made while the other pages were read.

    Args:
        client: Client of the store.
        kind: Kind of the objects.
        timeout_s: Longest wait for the first chunk of each page.

    Raises:
        PlatformUnavailableError: The store gave no usable response.
    """
    page = await client.list_page(kind, '', timeout_s)
    found = list(page.objects)
    revision = page.revision
    while page.has_more and page.objects:
        after = page.objects[-1].name
        page = await client.list_page(kind, after, timeout_s)
        found.extend(page.objects)
    return StorePage(tuple(found), revision)
