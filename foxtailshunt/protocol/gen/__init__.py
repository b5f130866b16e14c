__all__ = ['ttypes', 'constants', 'Dispatcher', 'Assigner', 'Peer']
